package org.pollensill.runtime.zone;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.pollensill.platform.Commit;
import org.pollensill.platform.CommitOutcome;
import org.pollensill.platform.Condition;
import org.pollensill.platform.PlatformException;
import org.pollensill.platform.Prefix;
import org.pollensill.platform.Row;
import org.pollensill.platform.TableService;

/** In-memory table service with a single row; can be unavailable or lose the answer to the next commit. */
final class MemoryTables implements TableService {

    volatile boolean unavailable;
    volatile boolean losesNextCommitAnswer;
    volatile int reads;
    private Optional<Row> row = Optional.empty();

    @Override
    public synchronized CompletableFuture<List<Row>> read(List<String> keys, List<Prefix> prefixes) {
        reads++;
        return unavailable
                ? failed(PlatformException.Effect.NONE)
                : CompletableFuture.completedFuture(row.stream().toList());
    }

    @Override
    public synchronized CompletableFuture<CommitOutcome> commit(Commit commit) {
        if (unavailable) {
            return failed(PlatformException.Effect.NONE);
        }
        String key = commit.conditions().get(0).key();
        long version = row.map(Row::version).orElse(Condition.ABSENT);
        if (version != commit.conditions().get(0).version()) {
            return CompletableFuture.completedFuture(new CommitOutcome.Conflicted(Map.of(key, version)));
        }
        row = Optional.of(
                new Row(key, version + 1, commit.writes().get(0).value().orElseThrow()));
        if (losesNextCommitAnswer) {
            losesNextCommitAnswer = false;
            return failed(PlatformException.Effect.UNKNOWN);
        }
        return CompletableFuture.completedFuture(new CommitOutcome.Committed(Map.of(key, version + 1)));
    }

    private static <T> CompletableFuture<T> failed(PlatformException.Effect effect) {
        return CompletableFuture.failedFuture(new PlatformException(effect, "in-memory table service is unavailable"));
    }
}
