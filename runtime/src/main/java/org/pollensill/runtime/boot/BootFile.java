package org.pollensill.runtime.boot;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Values of a boot file: the identity of the process and the addresses of the platform. All other configuration
 * comes from the settings.
 *
 * @param host the host's name
 * @param region the region
 * @param zone the availability zone
 * @param callerAddress address of the caller listener, entry daemon only
 * @param peerAddress address of the peer listener
 * @param adminAddress address of the admin listener
 * @param tables address of the table service
 * @param objects address of the object store
 * @param hosts address of the host list
 * @param peers addresses of peers to connect to while the host list cannot be read
 * @param fleetToken shared secret for the authentication of peers
 * @param operatorTokensFile operators' tokens and rights, empty if only calls without authentication are served
 * @param callerTls certificate of the caller listener
 * @param adminTls certificate of the admin listener
 * @param logFormat {@code json} or {@code text}
 * @param logLevel minimum level to print
 */
public record BootFile(
        String host,
        String region,
        String zone,
        Optional<InetSocketAddress> callerAddress,
        InetSocketAddress peerAddress,
        InetSocketAddress adminAddress,
        InetSocketAddress tables,
        InetSocketAddress objects,
        InetSocketAddress hosts,
        List<InetSocketAddress> peers,
        String fleetToken,
        Optional<Path> operatorTokensFile,
        Optional<TlsFiles> callerTls,
        Optional<TlsFiles> adminTls,
        String logFormat,
        String logLevel) {

    /**
     * PEM files of a listener.
     *
     * @param certificateFile certificate chain
     * @param keyFile private key in PKCS#8
     */
    public record TlsFiles(Path certificateFile, Path keyFile) {

        /**
         * Creates the pair of files.
         *
         * @throws NullPointerException if an argument is null
         */
        public TlsFiles {
            Objects.requireNonNull(certificateFile, "certificateFile is null");
            Objects.requireNonNull(keyFile, "keyFile is null");
        }
    }

    /**
     * Creates the values.
     *
     * @throws NullPointerException if an argument is null
     */
    public BootFile {
        Objects.requireNonNull(host, "host is null");
        Objects.requireNonNull(region, "region is null");
        Objects.requireNonNull(zone, "zone is null");
        Objects.requireNonNull(callerAddress, "callerAddress is null");
        Objects.requireNonNull(peerAddress, "peerAddress is null");
        Objects.requireNonNull(adminAddress, "adminAddress is null");
        Objects.requireNonNull(tables, "tables is null");
        Objects.requireNonNull(objects, "objects is null");
        Objects.requireNonNull(hosts, "hosts is null");
        peers = List.copyOf(Objects.requireNonNull(peers, "peers is null"));
        Objects.requireNonNull(fleetToken, "fleetToken is null");
        Objects.requireNonNull(operatorTokensFile, "operatorTokensFile is null");
        Objects.requireNonNull(callerTls, "callerTls is null");
        Objects.requireNonNull(adminTls, "adminTls is null");
        Objects.requireNonNull(logFormat, "logFormat is null");
        Objects.requireNonNull(logLevel, "logLevel is null");
    }
}
