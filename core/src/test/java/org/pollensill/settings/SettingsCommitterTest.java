package org.pollensill.settings;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import org.junit.jupiter.api.Test;
import org.pollensill.platform.PlatformException;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests conflicts by path, repeated changes, refusal while the store is down, and rollback. */
class SettingsCommitterTest {

    private final FakeStore store = new FakeStore(1, 0);
    private final SettingsStore settings = new SettingsStore(store, store);
    private final SettingsReplica replica = SettingsReplica.empty();
    private final SettingsCommitter committer = committer(replica);

    private SettingsCommitter committer(SettingsReplica of) {
        return new SettingsCommitter(settings, of, () -> CompletableFuture.completedFuture(null));
    }

    static SettingsChange change(String id, long base, String path, String json) {
        SettingsPath at = new SettingsPath(List.of(path.split("\\.")));
        return new SettingsChange(id, "ana", "test", base, List.of(Edit.set(at, json)));
    }

    private CompletableFuture<SettingsDelta> submit(SettingsCommitter by, SettingsChange change) {
        CompletableFuture<SettingsDelta> outcome = by.submit(change, 7);
        store.settle();
        return outcome;
    }

    private <T extends Exception> T failure(Class<T> type, CompletableFuture<?> outcome) {
        assertTrue(outcome.isDone(), "no outcome");
        return assertInstanceOf(
                type, assertThrows(CompletionException.class, outcome::join).getCause());
    }

    /** Guards against operators who overwrite each other, and against conflicts between changes of different paths. */
    @Test
    void shouldConflictOnlyWhenAPathWasChangedAfterTheBaseRevision() {
        submit(committer, change("a", 0, "defaults.batch.leaseMs", "20000")).join();
        SettingsCommitter other = committer(SettingsReplica.empty());
        assertEquals(
                2,
                submit(other, change("b", 0, "defaults.entry.drainMs", "5"))
                        .join()
                        .revision());
        SettingsConflictException conflict = failure(
                SettingsConflictException.class, submit(other, change("c", 0, "defaults.batch", "{\"candidates\":3}")));
        assertTrue(conflict.getMessage().contains("revision 1 by ana"), conflict.getMessage());
        assertEquals(
                3,
                submit(other, change("d", 2, "defaults.batch", "{\"candidates\":3}"))
                        .join()
                        .revision());
    }

    /** Guards against a change that takes effect twice after a retry of its sender. */
    @Test
    void shouldReturnTheSameRevisionWhenAChangeIsSentAgain() {
        SettingsChange change = change("a", 0, "defaults.batch.leaseMs", "20000");
        CompletableFuture<SettingsDelta> first = committer.submit(change, 7);
        CompletableFuture<SettingsDelta> second = committer.submit(change, 7);
        store.settle();
        assertEquals(first.join(), second.join());
        assertEquals(
                1, submit(committer(SettingsReplica.empty()), change).join().revision());
        assertEquals(1, store.commits);
    }

    /** Guards against one commit per change when several are pending. */
    @Test
    void shouldCommitPendingChangesTogether() {
        committer.submit(change("a", 0, "defaults.batch.leaseMs", "20000"), 7);
        CompletableFuture<SettingsDelta> refused =
                committer.submit(change("b", 0, "defaults.batch.leaseMs", "30000"), 7);
        CompletableFuture<SettingsDelta> third = committer.submit(change("c", 0, "defaults.entry.drainMs", "5"), 7);
        store.settle();
        assertEquals(2, store.commits, "the first change alone, then the two pending ones together");
        failure(SettingsConflictException.class, refused);
        assertEquals(2, third.join().revision());
    }

    /** Guards against a change that is accepted, or left undecided, while the store is down. */
    @Test
    void shouldRefuseWithoutEffectWhenTheStoreIsDown() {
        store.down = true;
        SettingsUnavailableException down = failure(
                SettingsUnavailableException.class,
                submit(committer, change("a", 0, "defaults.batch.leaseMs", "20000")));
        assertEquals(PlatformException.Effect.NONE, down.effect());
        store.down = false;
        assertEquals(
                1,
                submit(committer, change("a", 0, "defaults.batch.leaseMs", "20000"))
                        .join()
                        .revision());
    }

    /** Guards against a rollback that rewrites the history or restores a tree incompletely. */
    @Test
    void shouldRollBackAsANewRevision() throws Exception {
        submit(committer, change("a", 0, "defaults", "{\"batch\":{\"leaseMs\":20000},\"teams\":{\"t\":{}}}"));
        String expected = replica.state().orElseThrow().tree().toJson();
        submit(committer, change("b", 1, "defaults.teams.u.weight", "3"));
        submit(committer, change("c", 2, "defaults.batch.leaseMs", "40000"));
        List<Edit> edits = SettingsHistory.rollback(
                        replica.state().orElseThrow(), 1, replica.deltasAfter(1).orElseThrow())
                .orElseThrow();
        submit(committer, new SettingsChange("d", "ana", "roll back to 1", 3, edits));
        assertEquals(4, replica.revision());
        assertEquals(expected, replica.state().orElseThrow().tree().toJson());
    }

    /** Guards against a starting process that cannot load the tree after old deltas were deleted. */
    @Test
    void shouldStartFromTheSnapshotWhenDeltasWereDeleted() {
        submit(committer, change("a", 0, "defaults.batch.leaseMs", "20000"));
        submit(committer, change("b", 1, "defaults.batch.leaseMs", "30000"));
        CompletableFuture<SettingsStore.ReadResult> last = settings.read(2);
        store.settle();
        CompletableFuture<Boolean> written =
                settings.writeSnapshot(replica.state().orElseThrow(), last.join());
        store.settle();
        assertTrue(written.join());
        CompletableFuture<Boolean> concurrent =
                settings.writeSnapshot(replica.state().orElseThrow(), last.join());
        store.settle();
        assertFalse(concurrent.join(), "a second writer must not replace it");
        store.rows.remove("settings/delta/000000000001");
        SettingsReplica starting = SettingsReplica.empty();
        assertEquals(
                3,
                submit(committer(starting), change("c", 2, "defaults.batch.leaseMs", "40000"))
                        .join()
                        .revision());
        assertEquals(
                Optional.of("40000"),
                starting.state().orElseThrow().tree().get(new SettingsPath(List.of("defaults", "batch", "leaseMs"))));
        SettingsConflictException old = failure(
                SettingsConflictException.class,
                submit(committer(starting), change("d", 0, "defaults.entry.drainMs", "1")));
        assertTrue(old.getMessage().contains("older than the revisions that are kept"), old.getMessage());
    }
}
