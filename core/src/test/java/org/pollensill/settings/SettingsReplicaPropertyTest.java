package org.pollensill.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.pollensill.platform.PlatformException;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Checks that settings never revert and that all processes converge to the same tree. */
class SettingsReplicaPropertyTest {

    private static final int PROCESSES = 5;
    private static final String[] PATHS = {
        "defaults.batch.candidates", "defaults.entry.drainMs", "defaults.batch", "regions.r.zones.z.batch.candidates"
    };

    /** One process with its settings, its committer and the highest revision seen so far. */
    private static final class Process {

        private final SettingsReplica replica = SettingsReplica.empty();
        private final SettingsCommitter committer;
        private long highestRevision = SettingsUpdate.UNKNOWN;

        Process(SettingsStore store) {
            committer = new SettingsCommitter(store, replica, () -> CompletableFuture.completedFuture(null));
        }

        void check() {
            assertTrue(
                    replica.revision() >= highestRevision,
                    "revision decreased from " + highestRevision + " to " + replica.revision());
            highestRevision = replica.revision();
        }
    }

    /**
     * Guards against a replica that reverts, skips a revision, or differs from the committed sequence, and against a
     * change that takes effect twice or has a wrong outcome, under partitions, restarts, stale reads, lost answers,
     * delayed writes and concurrent operators.
     */
    @Property(tries = 400, seed = "4103")
    void shouldConvergeAndNeverRevert(@ForAll long seed) throws Exception {
        Random random = new Random(seed);
        FakeStore store = new FakeStore(seed, random.nextDouble() * 0.4);
        SettingsStore settings = new SettingsStore(store, store);
        List<Process> processes = new ArrayList<>();
        for (int i = 0; i < PROCESSES; i++) {
            processes.add(new Process(settings));
        }
        Map<String, CompletableFuture<SettingsDelta>> outcomes = new HashMap<>();
        List<SettingsChange> sent = new ArrayList<>();
        for (int step = 0; step < 300; step++) {
            int index = random.nextInt(PROCESSES);
            Process process = processes.get(index);
            switch (random.nextInt(8)) {
                case 0 -> processes.set(index, random.nextInt(4) == 0 ? new Process(settings) : process);
                case 1 -> store.down = random.nextInt(4) == 0;
                case 2 -> {
                    SettingsChange fresh = SettingsCommitterTest.change(
                            "c" + step,
                            Math.max(0, process.replica.revision() - random.nextInt(2)),
                            PATHS[random.nextInt(PATHS.length)],
                            Integer.toString(random.nextInt(50)));
                    sent.add(fresh);
                    // An operator whose answer was lost sends the same change again, to any process.
                    SettingsChange change = random.nextInt(5) == 0 ? sent.get(random.nextInt(sent.size())) : fresh;
                    outcomes.put(change.changeId() + "@" + step, process.committer.submit(change, step));
                }
                case 3 ->
                    settings.read(process.replica.revision())
                            .thenAccept(readResult -> offer(process, readResult.update()));
                case 4 -> {
                    // Message of a peer, possibly without its first deltas.
                    SettingsUpdate update = processes
                            .get(random.nextInt(PROCESSES))
                            .replica
                            .updateAfter(process.replica.revision() - random.nextInt(3));
                    List<SettingsDelta> deltas = update.deltas();
                    int from = deltas.isEmpty() ? 0 : random.nextInt(deltas.size());
                    offer(
                            process,
                            new SettingsUpdate(
                                    update.revision(), update.snapshot(), deltas.subList(from, deltas.size())));
                }
                default -> store.step();
            }
            processes.forEach(Process::check);
        }
        store.down = false;
        store.settle();
        checkHistory(store, outcomes);
        for (Process process : processes) {
            for (int tries = 0; tries < 100; tries++) {
                settings.read(process.replica.revision()).thenAccept(readResult -> offer(process, readResult.update()));
                store.settle();
            }
        }
        SettingsTree expected = replay(store);
        for (Process process : processes) {
            process.check();
            SettingsSnapshot state = process.replica.state().orElseThrow();
            assertEquals(
                    store.rows.containsKey(SettingsStore.HEAD_KEY)
                            ? deltas(store).size()
                            : 0,
                    state.revision());
            assertEquals(expected.toJson(), state.tree().toJson());
        }
    }

    private static void offer(Process process, SettingsUpdate update) {
        try {
            process.replica.apply(update);
        } catch (InvalidSettingsException e) {
            throw new AssertionError(e);
        }
    }

    private static List<SettingsDelta> deltas(FakeStore store) throws InvalidSettingsException {
        List<SettingsDelta> deltas = new ArrayList<>();
        for (String key : store.rows.tailMap(SettingsStore.DELTA_KEY_PREFIX).keySet()) {
            if (key.startsWith(SettingsStore.DELTA_KEY_PREFIX)) {
                deltas.add(SettingsDelta.parse(store.rows.get(key).value()));
            }
        }
        return deltas;
    }

    private static SettingsTree replay(FakeStore store) throws InvalidSettingsException {
        SettingsTree tree = SettingsTree.empty();
        for (SettingsDelta delta : deltas(store)) {
            tree = tree.apply(delta.change().edits()).tree();
        }
        return tree;
    }

    /** Checks that every change is in the history at most once and that all outcomes match the history. */
    private static void checkHistory(FakeStore store, Map<String, CompletableFuture<SettingsDelta>> outcomes)
            throws Exception {
        List<SettingsDelta> deltas = deltas(store);
        Map<String, SettingsDelta> byChange = new HashMap<>();
        for (int i = 0; i < deltas.size(); i++) {
            assertEquals(i + 1, deltas.get(i).revision(), "gap in the history");
            Optional<SettingsDelta> duplicate =
                    Optional.ofNullable(byChange.put(deltas.get(i).change().changeId(), deltas.get(i)));
            assertTrue(duplicate.isEmpty(), () -> "took effect twice: " + duplicate);
        }
        for (Map.Entry<String, CompletableFuture<SettingsDelta>> outcome : outcomes.entrySet()) {
            assertTrue(outcome.getValue().isDone(), "no outcome for " + outcome.getKey());
            String changeId = outcome.getKey().substring(0, outcome.getKey().indexOf('@'));
            boolean sentOnce = outcomes.keySet().stream()
                            .filter(key -> key.startsWith(changeId + "@"))
                            .count()
                    == 1;
            if (sentOnce && outcome.getValue().isCompletedExceptionally() && !mayHaveTakenEffect(outcome.getValue())) {
                assertTrue(!byChange.containsKey(changeId), "refused but in effect: " + changeId);
            }
            if (!outcome.getValue().isCompletedExceptionally()) {
                SettingsDelta answered = outcome.getValue().join();
                assertEquals(byChange.get(answered.change().changeId()), answered);
            }
        }
    }

    private static boolean mayHaveTakenEffect(CompletableFuture<SettingsDelta> outcome) {
        return outcome.handle((delta, failure) -> failure instanceof SettingsUnavailableException
                        && ((SettingsUnavailableException) failure).effect() == PlatformException.Effect.UNKNOWN)
                .join();
    }
}
