package org.pollensill.bench.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.pollensill.contract.Attempt;
import org.pollensill.contract.Deadline;
import org.pollensill.contract.KindContract;
import org.pollensill.contract.OwnerPool;
import org.pollensill.contract.PoolEffect;
import org.pollensill.contract.RequestDescription;
import org.pollensill.contract.ServiceContract;
import org.pollensill.upstream.EjectionPolicy;
import org.pollensill.upstream.SlotAllowance;

/** An owner pool with running requests. */
final class BenchmarkPool {

    private static final int SLOTS_PER_UPSTREAM = 8;
    private static final long NS_PER_MS = 1_000_000;

    final OwnerPool ownerPool;
    final List<Attempt> runningAttempts = new ArrayList<>();
    private final int callerCount;
    private long lastRequestId;

    BenchmarkPool(int upstreams, double load, int callerCount) {
        this.callerCount = callerCount;
        KindContract match = kind("match", 0, 0.5);
        KindContract reprice = kind("reprice", 1, 0.3);
        ServiceContract service =
                new ServiceContract("pad-desk", 1000, 10, 25, 1 << 20, Map.of("match", match, "reprice", reprice));
        ownerPool = OwnerPool.of(service, EjectionPolicy.standard(), new Random(1), 0);
        for (int i = 0; i < upstreams; i++) {
            ownerPool.addUpstream("u" + i, SLOTS_PER_UPSTREAM, 64, SlotAllowance.FULL, 0);
        }
        int runningCount = (int) (upstreams * SLOTS_PER_UPSTREAM * load);
        for (int i = 0; i < runningCount; i++) {
            recordDispatches(ownerPool.submit(request("match"), 0));
        }
    }

    private static KindContract kind(String name, int urgency, double share) {
        return new KindContract(
                name, urgency, share, 1, 1000, 60_000, SLOTS_PER_UPSTREAM, false, 60_000, 0.99, 500, 28);
    }

    RequestDescription request(String kind) {
        long id = ++lastRequestId;
        return new RequestDescription("r" + id, kind, "c" + id % callerCount, false, new Deadline(60_000 * NS_PER_MS));
    }

    void recordDispatches(List<PoolEffect> effects) {
        for (PoolEffect effect : effects) {
            if (effect instanceof PoolEffect.Dispatch dispatch) {
                runningAttempts.add(dispatch.attempt());
            }
        }
    }

    /** Removes and returns a random running attempt. */
    Attempt removeRandomRunning(Random random) {
        int index = random.nextInt(runningAttempts.size());
        Attempt last = runningAttempts.remove(runningAttempts.size() - 1);
        return index == runningAttempts.size() ? last : runningAttempts.set(index, last);
    }
}
