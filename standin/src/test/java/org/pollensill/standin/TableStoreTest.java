package org.pollensill.standin;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollensill.platform.Commit;
import org.pollensill.platform.CommitOutcome;
import org.pollensill.platform.Condition;
import org.pollensill.platform.Prefix;
import org.pollensill.platform.Row;
import org.pollensill.platform.Write;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

/** Guards against a table store that accepts a write that the platform would refuse. */
class TableStoreTest {

    private final TableStore store = new TableStore();

    private CommitOutcome commit(List<Condition> conditions, Write... writes) {
        return store.commit(new Commit("c", conditions, List.of(writes)));
    }

    @Nested
    class Commits {

        @Test
        void shouldWriteNothingWhenOneOfSeveralConditionsFails() {
            commit(List.of(), Write.put("a", "1"));
            CommitOutcome outcome = commit(
                    List.of(new Condition("a", 1), new Condition("b", 3)), Write.put("a", "2"), Write.put("b", "2"));
            assertEquals(new CommitOutcome.Conflicted(Map.of("b", 0L)), outcome);
            assertEquals(List.of(new Row("a", 1, "1")), store.read(List.of("a", "b"), List.of()));
        }

        @Test
        void shouldTakeEffectOnceWhenTheSameCommitIsSentTwice() {
            List<Condition> absent = List.of(Condition.absent("a"));
            assertEquals(new CommitOutcome.Committed(Map.of("a", 1L)), commit(absent, Write.put("a", "1")));
            assertEquals(new CommitOutcome.Conflicted(Map.of("a", 1L)), commit(absent, Write.put("a", "1")));
        }

        @Test
        void shouldNotRepeatAVersionWhenARowIsDeletedAndCreatedAgain() {
            commit(List.of(), Write.put("a", "1"));
            commit(List.of(), Write.delete("a"));
            commit(List.of(Condition.absent("a")), Write.put("a", "2"));
            assertNotEquals(1, store.read(List.of("a"), List.of()).get(0).version());
        }
    }

    @Nested
    class Reads {

        @Test
        void shouldPageThroughAPrefixWhenLimitIsReached() {
            commit(List.of(), Write.put("p/1", ""), Write.put("p/2", ""), Write.put("p/3", ""), Write.put("q", ""));
            assertEquals(List.of("p/1", "p/2"), keys(new Prefix("p/", "", 2)));
            assertEquals(List.of("p/3"), keys(new Prefix("p/", "p/2", 2)));
        }

        private List<String> keys(Prefix prefix) {
            return store.read(List.of(), List.of(prefix)).stream().map(Row::key).toList();
        }
    }
}
