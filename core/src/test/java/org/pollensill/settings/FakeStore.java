package org.pollensill.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import org.pollensill.platform.Commit;
import org.pollensill.platform.CommitOutcome;
import org.pollensill.platform.Condition;
import org.pollensill.platform.ObjectStore;
import org.pollensill.platform.PlatformException;
import org.pollensill.platform.Prefix;
import org.pollensill.platform.Row;
import org.pollensill.platform.TableService;
import org.pollensill.platform.Write;

/**
 * In-memory table service and object store. Calls are queued until {@link #step}, which executes a random one and, with
 * the given probability, loses the call or its answer, reads a stale version, or delays the write.
 */
public final class FakeStore implements TableService, ObjectStore {

    public final TreeMap<String, Row> rows = new TreeMap<>();
    final Map<String, byte[]> objects = new HashMap<>();
    private final List<TreeMap<String, Row>> history = new ArrayList<>();
    private final List<Runnable> pendingCalls = new ArrayList<>();
    private final Random random;
    private final double faultProbability;
    public boolean down;
    int commits;

    public FakeStore(long seed, double faultProbability) {
        this.random = new Random(seed);
        this.faultProbability = faultProbability;
    }

    public boolean step() {
        if (pendingCalls.isEmpty()) {
            return false;
        }
        pendingCalls.remove(random.nextInt(pendingCalls.size())).run();
        return true;
    }

    public void settle() {
        while (step()) {
            continue;
        }
    }

    private static PlatformException failure(PlatformException.Effect effect) {
        return new PlatformException(effect, "injected fault of the fake store");
    }

    @Override
    public CompletableFuture<List<Row>> read(List<String> keys, List<Prefix> prefixes) {
        CompletableFuture<List<Row>> answer = new CompletableFuture<>();
        pendingCalls.add(() -> {
            if (down || random.nextDouble() < faultProbability) {
                answer.completeExceptionally(failure(PlatformException.Effect.NONE));
                return;
            }
            boolean stale = !history.isEmpty() && random.nextDouble() < faultProbability;
            TreeMap<String, Row> visible = stale ? history.get(random.nextInt(history.size())) : rows;
            List<Row> found = new ArrayList<>();
            for (String key : keys) {
                Optional.ofNullable(visible.get(key)).ifPresent(found::add);
            }
            for (Prefix prefix : prefixes) {
                visible.tailMap(prefix.prefix(), true).values().stream()
                        .filter(row -> row.key().startsWith(prefix.prefix())
                                && row.key().compareTo(prefix.after()) > 0)
                        .limit(prefix.limit())
                        .forEach(found::add);
            }
            answer.complete(found);
        });
        return answer;
    }

    @Override
    public CompletableFuture<CommitOutcome> commit(Commit commit) {
        CompletableFuture<CommitOutcome> answer = new CompletableFuture<>();
        pendingCalls.add(() -> {
            if (down) {
                answer.completeExceptionally(failure(PlatformException.Effect.NONE));
            } else if (random.nextDouble() >= faultProbability) {
                answer.complete(write(commit));
            } else if (random.nextBoolean()) {
                write(commit);
                answer.completeExceptionally(failure(PlatformException.Effect.UNKNOWN));
            } else {
                pendingCalls.add(() -> write(commit));
                answer.completeExceptionally(failure(PlatformException.Effect.UNKNOWN));
            }
        });
        return answer;
    }

    private CommitOutcome write(Commit commit) {
        Map<String, Long> conflicts = new HashMap<>();
        for (Condition condition : commit.conditions()) {
            long version = version(condition.key());
            if (version != condition.version()) {
                conflicts.put(condition.key(), version);
            }
        }
        if (!conflicts.isEmpty()) {
            return new CommitOutcome.Conflicted(conflicts);
        }
        commits++;
        Map<String, Long> written = new HashMap<>();
        for (Write write : commit.writes()) {
            long version = version(write.key()) + 1;
            if (write.value().isPresent()) {
                rows.put(
                        write.key(), new Row(write.key(), version, write.value().get()));
            } else {
                rows.remove(write.key());
            }
            written.put(write.key(), version);
        }
        history.add(new TreeMap<>(rows));
        return new CommitOutcome.Committed(written);
    }

    private long version(String key) {
        return rows.containsKey(key) ? rows.get(key).version() : Condition.ABSENT;
    }

    @Override
    public CompletableFuture<Void> put(String name, byte[] content) {
        objects.put(name, content);
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<Optional<byte[]>> get(String name) {
        return CompletableFuture.completedFuture(Optional.ofNullable(objects.get(name)));
    }

    @Override
    public CompletableFuture<Void> delete(String name) {
        objects.remove(name);
        return CompletableFuture.completedFuture(null);
    }
}
