package org.pollensill.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.pollensill.platform.Commit;
import org.pollensill.platform.CommitOutcome;
import org.pollensill.platform.Condition;
import org.pollensill.platform.Row;

/** In-memory table service. A test applies commits at once, or keeps them as delayed and applies them later. */
final class FakeStore {

    final TreeMap<String, Row> rows = new TreeMap<>();
    final List<Commit> delayedCommits = new ArrayList<>();
    private long lastVersion;

    CommitOutcome apply(Commit commit) {
        Map<String, Long> conflicts = new HashMap<>();
        for (Condition condition : commit.conditions()) {
            long version = rows.containsKey(condition.key())
                    ? rows.get(condition.key()).version()
                    : 0;
            if (version != condition.version()) {
                conflicts.put(condition.key(), version);
            }
        }
        if (!conflicts.isEmpty()) {
            return new CommitOutcome.Conflicted(conflicts);
        }
        Map<String, Long> written = new HashMap<>();
        commit.writes().forEach(write -> {
            rows.remove(write.key());
            write.value().ifPresent(text -> {
                rows.put(write.key(), new Row(write.key(), ++lastVersion, text));
                written.put(write.key(), lastVersion);
            });
        });
        return new CommitOutcome.Committed(written);
    }

    List<Row> read(List<String> keys) {
        return keys.stream().filter(rows::containsKey).map(rows::get).toList();
    }
}
