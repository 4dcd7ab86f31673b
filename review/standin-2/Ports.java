import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.Random;

/** Finds ports that are free on the loopback addresses of a play. */
final class Ports {

    private Ports() {}

    /** Returns the first of three consecutive ports that are free on 127.0.0.41 to 127.0.0.43. */
    static int free() throws IOException {
        Random random = new Random();
        for (int attempt = 0; attempt < 100; attempt++) {
            int port = 20_000 + 4 * random.nextInt(3_000);
            if (isFree(port)) {
                return port;
            }
        }
        throw new IOException("no free ports");
    }

    private static boolean isFree(int first) {
        for (int host = 41; host <= 43; host++) {
            for (int port = first; port < first + 3; port++) {
                try (ServerSocket socket = new ServerSocket()) {
                    socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0." + host), port));
                } catch (IOException e) {
                    return false;
                }
            }
        }
        return true;
    }
}
