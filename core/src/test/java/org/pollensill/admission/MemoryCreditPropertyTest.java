package org.pollensill.admission;

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

import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against jobs that are accepted beyond the memory of a leader while its row is read late: several coordinators,
 * copies of the leader row of any age, writes that are slow or stay without an answer, and takeovers.
 */
class MemoryCreditPropertyTest {

    private static final long LIMIT_BYTES = 24_000_000;
    private static final int STEPS = 4_000;
    private static final long STEP_MS = 10;

    /** Time in which a write of a job takes effect or never does. */
    private static final long MAX_WRITE_MS = 3_000;

    /** A write of an accepted job. */
    private record PendingWrite(int coordinator, String id, long bytes, long atMs, boolean answered) {}

    private final Map<String, Long> stored = new HashMap<>();
    private final Map<String, Long> versions = new HashMap<>();
    private final List<PendingWrite> writes = new ArrayList<>();
    private final List<MemoryAccount> accounts = new ArrayList<>();
    private final Set<String> known = new HashSet<>();
    private MemoryGrants grants = new MemoryGrants();
    private Optional<MemoryCredit> row = Optional.empty();
    private long version;
    private long knownVersion;
    private long nowMs;
    private long leadingSinceMs;
    private int accepted;

    private long freeBytes() {
        return Math.max(0, LIMIT_BYTES - known.stream().mapToLong(stored::get).sum());
    }

    private void write(PendingWrite write) {
        stored.put(write.id(), write.bytes());
        versions.put(write.id(), ++version);
        if (write.answered()) {
            accounts.get(write.coordinator()).stored(write.id(), version);
        } else {
            accounts.get(write.coordinator()).unknown(write.id(), nowMs);
        }
    }

    private void submit(Random random, int coordinator, String id) {
        long bytes = random.nextInt(3) == 0 ? 1_000_000 + random.nextInt(5_000_000) : 2_000 + random.nextInt(200_000);
        MemoryAccount account = accounts.get(coordinator);
        boolean leads = nowMs >= leadingSinceMs;
        boolean granted = account.charge(id, bytes)
                || leads && random.nextBoolean() && grants.grant(id, bytes, freeBytes(), nowMs);
        if (granted) {
            accepted++;
            long delayMs = random.nextInt(4) == 0 ? random.nextInt((int) MAX_WRITE_MS) : random.nextInt(50);
            writes.add(new PendingWrite(coordinator, id, bytes, nowMs + delayMs, random.nextInt(5) > 0));
        }
    }

    private void leaderReads(Random random) {
        if (nowMs < leadingSinceMs) {
            return;
        }
        if (random.nextInt(5) == 0) {
            for (Map.Entry<String, Long> job : versions.entrySet()) {
                known.add(job.getKey());
                grants.arrived(job.getKey());
            }
            knownVersion = version;
        }
        if (random.nextInt(10) == 0) {
            row = Optional.of(new MemoryCredit(grants.shareBytes(freeBytes(), accounts.size(), nowMs), knownVersion));
        }
    }

    private void endSomeJobs(Random random) {
        if (random.nextInt(20) == 0 && !known.isEmpty()) {
            String ended = known.iterator().next();
            known.remove(ended);
            stored.remove(ended);
            versions.remove(ended);
        }
    }

    @Property(tries = 60, seed = "20261207")
    void shouldNeverStoreMoreThanALeaderCanHold(@ForAll Random random) {
        for (int i = 0; i < 1 + random.nextInt(8); i++) {
            accounts.add(new MemoryAccount());
        }
        for (int step = 0; step < STEPS; step++) {
            nowMs += STEP_MS;
            leaderReads(random);
            for (MemoryAccount account : accounts) {
                if (random.nextInt(30) == 0) {
                    row.ifPresent(read -> account.update(read, nowMs));
                }
            }
            submit(random, random.nextInt(accounts.size()), "job-" + step);
            for (PendingWrite write : List.copyOf(writes)) {
                if (nowMs >= write.atMs()) {
                    writes.remove(write);
                    write(write);
                }
            }
            endSomeJobs(random);
            if (random.nextInt(500) == 0) {
                // The next leader gives nothing until it has loaded the state.
                grants = new MemoryGrants();
                leadingSinceMs = nowMs + MAX_WRITE_MS;
                known.clear();
                known.addAll(stored.keySet());
                knownVersion = 0;
            }
            long bytes = stored.values().stream().mapToLong(Long::longValue).sum();
            assertTrue(bytes <= LIMIT_BYTES, () -> bytes + " bytes at " + nowMs + " ms");
        }
        assertTrue(accepted > 0);
    }
}
