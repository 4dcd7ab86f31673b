package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.pollensill.evacuation.ZoneEvacuations;
import org.pollensill.job.Trait;

/** Reports at intervals what still runs in the zones that are being emptied. It changes nothing. */
final class EvacuationMonitor {

    /** Minimum time between two reports. */
    static final long INTERVAL_MS = 1_000;

    private final Fleet fleet;
    private final ZoneEvacuations evacuations;
    private final DispatchListener listener;
    private long lastRoundAtMs = Long.MIN_VALUE / 2;

    EvacuationMonitor(Fleet fleet, ZoneEvacuations evacuations, DispatchListener listener) {
        this.fleet = fleet;
        this.evacuations = evacuations;
        this.listener = listener;
    }

    void tick(long nowMs) {
        if (nowMs - lastRoundAtMs >= INTERVAL_MS) {
            lastRoundAtMs = nowMs;
            listener.evacuating(zones(nowMs));
        }
    }

    List<ZoneStatus> zones(long nowMs) {
        List<ZoneStatus> zones = new ArrayList<>();
        for (Map.Entry<String, Long> evacuated : evacuations.evacuatedSinceMs().entrySet()) {
            zones.add(status(evacuated.getKey(), nowMs - evacuated.getValue()));
        }
        return zones;
    }

    private ZoneStatus status(String zone, long evacuatedForMs) {
        int longRunning = 0;
        int other = 0;
        for (RunnerState runner : fleet.all()) {
            if (!runner.isIn(zone)) {
                continue;
            }
            for (TaskState task : runner.tasks.values()) {
                if (task.step.spec.hasTrait(Trait.RESTART_ALWAYS)) {
                    longRunning++;
                } else {
                    other++;
                }
            }
        }
        return new ZoneStatus(zone, evacuatedForMs, longRunning, other);
    }
}
