package org.pollensill.runtime.net;

import javax.net.ssl.SSLException;

import java.util.Objects;
import java.util.Optional;

import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import org.pollensill.runtime.boot.BootFile;

/** Creates the TLS contexts of listeners from PEM files. */
public final class Tls {

    private Tls() {}

    /**
     * Creates the TLS context of a listener.
     *
     * @param files the PEM files, empty for unencrypted connections
     * @return the context, empty for unencrypted connections
     * @throws TlsException if the certificate or the key is unreadable or invalid
     */
    public static Optional<SslContext> server(Optional<BootFile.TlsFiles> files) throws TlsException {
        Objects.requireNonNull(files, "files is null");
        if (files.isEmpty()) {
            return Optional.empty();
        }
        try {
            return Optional.of(SslContextBuilder.forServer(
                            files.get().certificateFile().toFile(),
                            files.get().keyFile().toFile())
                    .build());
        } catch (SSLException | IllegalArgumentException e) {
            throw new TlsException(files.get().certificateFile(), String.valueOf(e.getMessage()));
        }
    }
}
