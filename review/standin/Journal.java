import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** The record of a play: what was sent, answered and run, with seconds since its begin. */
final class Journal {
    private static final ScheduledExecutorService TIMER = Executors.newScheduledThreadPool(4, task -> {
        Thread thread = new Thread(task, "timer");
        thread.setDaemon(true);
        return thread;
    });
    private final long beginNs = System.nanoTime();
    private final PrintWriter out;

    Journal(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    double now() {
        return (System.nanoTime() - beginNs) / 1e9;
    }

    synchronized void log(String line) {
        out.printf("%8.3f  %s%n", now(), line);
    }

    static void later(long delayMs, Runnable action) {
        TIMER.schedule(() -> Http.EXECUTOR.execute(action), delayMs, TimeUnit.MILLISECONDS);
    }
}
