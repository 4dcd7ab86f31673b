package org.pollensill.runtime.net;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Objects;

import io.netty.util.NetUtil;

/** Converts between socket addresses and their text form {@code IP:port}. */
public final class Addresses {

    private static final int MAX_PORT = 65_535;

    private Addresses() {}

    /**
     * Parses an address. Host names are rejected, because processes connect by IP address.
     *
     * @param text the address, for example {@code 127.0.0.1:8080}
     * @return the address
     * @throws AddressException if the text is not an IP address and port
     */
    public static InetSocketAddress parse(String text) throws AddressException {
        Objects.requireNonNull(text, "text is null");
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            throw new AddressException(text);
        }
        byte[] ipAddress = NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        if (ipAddress == null) {
            throw new AddressException(text);
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (port < 0 || port > MAX_PORT) {
                throw new AddressException(text);
            }
            return new InetSocketAddress(InetAddress.getByAddress(ipAddress), port);
        } catch (NumberFormatException | UnknownHostException e) {
            throw new AddressException(text);
        }
    }

    /**
     * Formats an address.
     *
     * @param address the address
     * @return its text form
     */
    public static String format(InetSocketAddress address) {
        Objects.requireNonNull(address, "address is null");
        return NetUtil.toAddressString(address.getAddress()) + ":" + address.getPort();
    }
}
