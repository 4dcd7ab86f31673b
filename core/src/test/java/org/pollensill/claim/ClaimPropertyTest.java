package org.pollensill.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.pollensill.platform.Commit;
import org.pollensill.platform.PlatformException.Effect;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against running a request with an idempotency key twice and against replaying the answer of another run.
 * Processes are killed, commit results are lost, commits take effect late, and the store is unavailable at times.
 */
class ClaimPropertyTest {

    private static final long STEP_NS = 20_000_000;

    /** One entry host; a kill replaces its table by that of a new incarnation. */
    private static final class EntryHost {
        private final String name;
        private int incarnation;
        private ClaimTable table;
        private final List<ClaimEffect> pendingEffects = new ArrayList<>();
        private final Map<String, String> stateByRequest = new HashMap<>();

        EntryHost(String name) {
            this.name = name;
        }
    }

    private static final class Model {
        private final Random random;
        private final FakeStore store = new FakeStore();
        private final List<EntryHost> hosts = List.of(new EntryHost("e1"), new EntryHost("e2"), new EntryHost("e3"));
        private final Map<String, String> keyByRequest = new HashMap<>();
        private final Map<String, String> runByKey = new HashMap<>();
        private final Set<String> unanswered = new HashSet<>();
        private boolean storeDown;
        private long nowNs;
        private int requests;

        Model(long seed) {
            random = new Random(seed);
            hosts.forEach(this::restart);
        }

        private void restart(EntryHost host) {
            host.incarnation++;
            host.pendingEffects.clear();
            unanswered.removeAll(host.stateByRequest.keySet());
            host.stateByRequest.clear();
            host.table = ClaimTable.of(
                    ClaimSettings.standard(host.name, "i" + host.incarnation), new Random(random.nextLong()), nowNs);
        }

        void step() {
            nowNs += random.nextLong(STEP_NS);
            if (random.nextInt(60) == 0) {
                storeDown = !storeDown;
            }
            EntryHost host = hosts.get(random.nextInt(hosts.size()));
            switch (random.nextInt(8)) {
                case 0, 1 -> claim(host);
                case 2 -> finish(host);
                case 3 -> expire(host);
                case 4 -> applyDelayedCommit();
                default -> host.pendingEffects.addAll(host.table.tick(nowNs));
            }
            if (random.nextInt(40) == 0) {
                restart(host);
            }
            while (!host.pendingEffects.isEmpty() && random.nextInt(5) > 0) {
                execute(host, host.pendingEffects.remove(random.nextInt(host.pendingEffects.size())));
            }
        }

        private void claim(EntryHost host) {
            String id = host.name + "-" + ++requests;
            String key = "k" + (requests / 12 + random.nextInt(4));
            keyByRequest.put(id, key);
            unanswered.add(id);
            host.stateByRequest.put(id, "waiting");
            host.pendingEffects.addAll(host.table.claim(id, new ClaimKey("s", "c", key), "hash", nowNs, 0));
        }

        private void execute(EntryHost host, ClaimEffect effect) {
            if (effect instanceof ClaimEffect.Write write) {
                host.pendingEffects.addAll(commit(host, write.commit()));
            } else if (effect instanceof ClaimEffect.Read read) {
                host.pendingEffects.addAll(
                        storeDown
                                ? host.table.readFailed(read.readId(), nowNs)
                                : host.table.rowsRead(read.readId(), store.read(read.keys()), nowNs));
            } else if (effect instanceof ClaimEffect.QueryHolder query) {
                host.pendingEffects.addAll(host.table.holderAnswered(query.rowKey(), Optional.empty(), nowNs));
            } else if (effect instanceof ClaimEffect.Granted granted) {
                run(host, granted.requestId());
            } else if (effect instanceof ClaimEffect.Replay replay) {
                answered(host, replay.requestId());
                String run = runByKey.get(keyByRequest.get(replay.requestId()));
                assertEquals(run, new String(replay.answer().body()), "answer of another run");
            } else if (effect instanceof ClaimEffect.Refused refused) {
                answered(host, refused.requestId());
            }
        }

        private List<ClaimEffect> commit(EntryHost host, Commit commit) {
            if (storeDown && random.nextBoolean()) {
                return host.table.commitFailed(commit.commitId(), Effect.NONE, nowNs);
            }
            int commitCase = random.nextInt(storeDown ? 3 : 8);
            if (commitCase == 0) {
                store.delayedCommits.add(commit);
            } else if (commitCase == 1) {
                store.apply(commit);
            } else if (commitCase > 2) {
                return host.table.committed(commit.commitId(), store.apply(commit), nowNs);
            }
            return host.table.commitFailed(commit.commitId(), Effect.UNKNOWN, nowNs);
        }

        private void applyDelayedCommit() {
            if (!store.delayedCommits.isEmpty()) {
                store.apply(store.delayedCommits.remove(random.nextInt(store.delayedCommits.size())));
            }
        }

        private void run(EntryHost host, String id) {
            if (random.nextInt(4) == 0) {
                host.stateByRequest.remove(id);
                unanswered.remove(id);
                host.pendingEffects.addAll(host.table.notRun(id, nowNs));
                return;
            }
            String earlierRun = runByKey.putIfAbsent(keyByRequest.get(id), id);
            assertTrue(earlierRun == null, () -> keyByRequest.get(id) + " ran for " + earlierRun + " and for " + id);
            host.stateByRequest.put(id, "dispatched");
        }

        private void finish(EntryHost host) {
            Optional<String> id = requestInState(host, "dispatched");
            if (id.isEmpty()) {
                return;
            }
            answered(host, id.get());
            byte[] body = id.get().getBytes();
            host.pendingEffects.addAll(
                    random.nextInt(4) == 0
                            ? host.table.outcomeUnknown(id.get(), nowNs)
                            : host.table.completed(id.get(), new StoredAnswer(200, Map.of(), body, true), nowNs));
        }

        private void expire(EntryHost host) {
            requestInState(host, "waiting").ifPresent(id -> host.pendingEffects.addAll(host.table.expired(id, nowNs)));
        }

        private Optional<String> requestInState(EntryHost host, String state) {
            return host.stateByRequest.entrySet().stream()
                    .filter(entry -> entry.getValue().equals(state))
                    .map(Map.Entry::getKey)
                    .sorted()
                    .findFirst();
        }

        private void answered(EntryHost host, String id) {
            assertTrue(unanswered.remove(id), () -> id + " was answered twice");
            host.stateByRequest.remove(id);
        }

        void drain() {
            storeDown = false;
            for (int i = 0; i < 400; i++) {
                nowNs += STEP_NS * 10;
                for (EntryHost host : hosts) {
                    finish(host);
                    host.pendingEffects.addAll(host.table.tick(nowNs));
                    for (ClaimEffect effect : List.copyOf(host.pendingEffects)) {
                        host.pendingEffects.remove(effect);
                        execute(host, effect);
                    }
                }
            }
            assertEquals(Set.of(), unanswered, "requests without an answer");
            hosts.forEach(host -> assertEquals(0, host.table.size(), "claims that were never resolved"));
        }
    }

    @Property(tries = 500, seed = "6175")
    void shouldRunAKeyAtMostOnceAndAnswerEachRequestOnce(@ForAll long seed) {
        Model model = new Model(seed);
        for (int i = 0; i < 1500; i++) {
            model.step();
        }
        model.drain();
    }
}
