package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.pollensill.platform.Commit;
import org.pollensill.platform.CommitOutcome;
import org.pollensill.platform.Condition;
import org.pollensill.platform.Row;
import org.pollensill.platform.Write;

/** In-memory store of versioned rows with conditional commits. */
final class SimulatedStore {

    private final Map<String, Row> rows = new HashMap<>();
    private long version;

    CommitOutcome commit(Commit commit) {
        Map<String, Long> failed = new HashMap<>();
        for (Condition condition : commit.conditions()) {
            long present = read(condition.key()).map(Row::version).orElse(Condition.ABSENT);
            if (present != condition.version()) {
                failed.put(condition.key(), present);
            }
        }
        if (!failed.isEmpty()) {
            return new CommitOutcome.Conflicted(failed);
        }
        version++;
        Map<String, Long> written = new HashMap<>();
        for (Write write : commit.writes()) {
            if (write.value().isPresent()) {
                rows.put(
                        write.key(), new Row(write.key(), version, write.value().get()));
            } else {
                rows.remove(write.key());
            }
            written.put(write.key(), version);
        }
        return new CommitOutcome.Committed(written);
    }

    Optional<Row> read(String key) {
        return Optional.ofNullable(rows.get(key));
    }

    List<Row> withPrefix(String prefix) {
        List<Row> found = new ArrayList<>();
        for (Row row : rows.values()) {
            if (row.key().startsWith(prefix)) {
                found.add(row);
            }
        }
        return found;
    }
}
