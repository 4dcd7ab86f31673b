import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The file that holds what was sent, answered and run, with the time since the start in milliseconds. */
final class Record {

    private final PrintWriter file;
    private final long startNanos = System.nanoTime();

    Record(Path path) throws IOException {
        file = new PrintWriter(Files.newBufferedWriter(path));
    }

    long nowMs() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void log(String text) {
        file.printf("%8d %s%n", nowMs(), text);
        file.flush();
    }

    synchronized void say(String text) {
        log(text);
        System.out.printf("%8d %s%n", nowMs(), text);
    }
}
