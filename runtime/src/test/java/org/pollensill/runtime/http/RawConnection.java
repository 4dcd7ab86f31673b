package org.pollensill.runtime.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A plain socket for tests that send requests which a client library would reject. */
final class RawConnection implements AutoCloseable {

    private static final int READ_TIMEOUT_MS = 10_000;

    private final Socket socket = new Socket();

    RawConnection(InetSocketAddress address) throws IOException {
        socket.connect(address);
        socket.setSoTimeout(READ_TIMEOUT_MS);
    }

    RawConnection send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
        return this;
    }

    /** Reads until the text has arrived or the connection is closed. */
    String readUntil(String end) throws IOException {
        StringBuilder read = new StringBuilder();
        InputStream in = socket.getInputStream();
        while (read.indexOf(end) < 0) {
            int next = in.read();
            if (next < 0) {
                break;
            }
            read.append((char) next);
        }
        return read.toString();
    }

    String readAll() throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
