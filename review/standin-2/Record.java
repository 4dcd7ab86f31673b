import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a play: what was sent, answered and run, with the seconds since the start. */
final class Record {

    private final long startNs = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    double seconds() {
        return (System.nanoTime() - startNs) / 1e9;
    }

    synchronized void line(String text) {
        out.printf("%8.3f %s%n", seconds(), text);
    }

    synchronized void verdict(String text) {
        line(text);
        System.out.println(text);
    }
}
