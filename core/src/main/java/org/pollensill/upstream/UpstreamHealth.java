package org.pollensill.upstream;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;

/**
 * Health of the upstreams of a table. Decides from answers, failures, probes and the host list which upstreams get new
 * requests: ejects outliers, readmits them with a slow start, and stops using an upstream at the first signal that
 * it is leaving.
 *
 * <p>Not thread-safe; guarded by the {@code upstreams} lock.
 */
public final class UpstreamHealth {

    /** Minimum samples of an upstream in a window for its latency to be compared. */
    private static final int MIN_WINDOW_SAMPLES = 3;

    /** Maximum number of upstreams sampled for the median latency, which bounds the time under the lock. */
    private static final int MEDIAN_SAMPLE_SIZE = 1024;

    private static final long SLOW_START_STEP_NS = 1_000_000_000L;

    /**
     * Delay after which an upstream that signalled that it is leaving, but that the host list still reports as live, is
     * probed. An upstream that restarts between two updates of the list would otherwise stay out of use for ever.
     */
    private static final long LEAVING_PROBE_DELAY_NS = 30_000_000_000L;

    private final SlotTable table;
    private final ArrayDeque<Upstream> probeQueue = new ArrayDeque<>();
    private final ArrayList<Upstream> slowStarting = new ArrayList<>();
    private EjectionPolicy policy;
    private int ejected;
    private long windowEndNs;

    /**
     * Creates the health tracking of a table's upstreams.
     *
     * @param table the table
     * @param policy the ejection policy
     * @param nowNs the current monotonic time
     */
    public UpstreamHealth(SlotTable table, EjectionPolicy policy, long nowNs) {
        this.table = Objects.requireNonNull(table, "table is null");
        this.policy = Objects.requireNonNull(policy, "policy is null");
        windowEndNs = nowNs + policy.windowNs();
    }

    /**
     * Changes the policy.
     *
     * @param policy the new policy
     */
    public void setPolicy(EjectionPolicy policy) {
        this.policy = Objects.requireNonNull(policy, "policy is null");
    }

    /**
     * Starts to monitor an upstream that was added to the table.
     *
     * @param upstream the upstream
     * @param nowNs the current monotonic time
     */
    public void added(Upstream upstream, long nowNs) {
        if (upstream.monitored) {
            return;
        }
        upstream.monitored = true;
        upstream.nextProbeNs = nowNs;
        probeQueue.addFirst(upstream);
    }

    /**
     * Stops using an upstream that is no longer owned.
     *
     * @param upstream the upstream
     */
    public void removed(Upstream upstream) {
        uncountEjected(upstream);
        table.remove(upstream);
    }

    /**
     * Records a complete answer.
     *
     * @param upstream the upstream
     * @param latencyRatio latency divided by the usual latency of the request's kind
     */
    public void succeeded(Upstream upstream, double latencyRatio) {
        upstream.consecutiveFailures = 0;
        upstream.windowSamples++;
        upstream.latency().add(latencyRatio);
    }

    /**
     * Records a failure: a lost connection, a malformed answer, a time-out or a server error.
     *
     * @param upstream the upstream
     * @param nowNs the current monotonic time
     */
    public void failed(Upstream upstream, long nowNs) {
        upstream.consecutiveFailures++;
        if (upstream.consecutiveFailures >= policy.consecutiveFailures()) {
            eject(upstream, nowNs);
        }
    }

    /**
     * Stops using an upstream that has signalled that it is leaving: by a 503 with {@code Upstream-Leaving: true}, or
     * by {@code Connection: close} on a probe.
     *
     * @param upstream the upstream
     * @param nowNs the current monotonic time
     */
    public void leaving(Upstream upstream, long nowNs) {
        if (upstream.state == UpstreamState.REMOVED || upstream.state == UpstreamState.LEAVING) {
            return;
        }
        uncountEjected(upstream);
        upstream.listedLeaving = false;
        table.setState(upstream, UpstreamState.LEAVING, 0, nowNs);
    }

    /**
     * Applies an upstream's state in the host list. A list that lags behind the upstream's own leaving signal does not
     * readmit it: the list must first have reported the upstream as leaving.
     *
     * @param upstream the upstream
     * @param live whether the list reports it as live
     * @param nowNs the current monotonic time
     */
    public void hostStateChanged(Upstream upstream, boolean live, long nowNs) {
        if (!live) {
            leaving(upstream, nowNs);
            upstream.listedLeaving = true;
            return;
        }
        if (upstream.state != UpstreamState.LEAVING) {
            return;
        }
        if (upstream.listedLeaving) {
            beginSlowStart(upstream, nowNs);
        } else if (nowNs - upstream.stateSinceNs >= LEAVING_PROBE_DELAY_NS) {
            table.setState(upstream, UpstreamState.EJECTED, 0, nowNs);
            ejected++;
        }
    }

    /**
     * Records the result of a probe.
     *
     * @param upstream the upstream
     * @param answered whether the probe succeeded
     * @param closing whether the answer carried {@code Connection: close}
     * @param nowNs the current monotonic time
     */
    public void probed(Upstream upstream, boolean answered, boolean closing, long nowNs) {
        upstream.probeInFlight = false;
        if (closing) {
            leaving(upstream, nowNs);
            return;
        }
        if (!answered) {
            failed(upstream, nowNs);
            return;
        }
        if (upstream.state == UpstreamState.EJECTED) {
            uncountEjected(upstream);
            beginSlowStart(upstream, nowNs);
        }
    }

    /**
     * Ends windows, advances slow starts and returns the upstreams whose probes are due.
     *
     * @param nowNs the current monotonic time
     * @return the upstreams to probe now
     */
    public List<Upstream> tick(long nowNs) {
        if (nowNs - windowEndNs >= 0) {
            windowEndNs = nowNs + policy.windowNs();
            endWindow(nowNs);
        }
        slowStarting.removeIf(upstream -> advanceSlowStart(upstream, nowNs));
        return dueProbes(nowNs);
    }

    /**
     * Returns the number of ejected upstreams.
     *
     * @return the number of upstreams
     */
    public int ejected() {
        return ejected;
    }

    private List<Upstream> dueProbes(long nowNs) {
        List<Upstream> due = List.of();
        while (!probeQueue.isEmpty() && probeQueue.peekFirst().nextProbeNs - nowNs <= 0) {
            Upstream upstream = probeQueue.pollFirst();
            if (upstream.state == UpstreamState.REMOVED) {
                upstream.monitored = false;
                continue;
            }
            upstream.nextProbeNs = nowNs + policy.probeIntervalNs();
            probeQueue.addLast(upstream);
            if (!upstream.probeInFlight && upstream.state != UpstreamState.LEAVING) {
                upstream.probeInFlight = true;
                if (due.isEmpty()) {
                    due = new ArrayList<>();
                }
                due.add(upstream);
            }
        }
        return due;
    }

    /** Doubles the slots of an upstream in slow start once per step; returns whether its slow start has ended. */
    private boolean advanceSlowStart(Upstream upstream, long nowNs) {
        if (upstream.state != UpstreamState.SLOW_START) {
            return true;
        }
        if (nowNs - upstream.stateSinceNs < SLOW_START_STEP_NS) {
            return false;
        }
        int doubledSlots = upstream.stateSlots * 2;
        boolean complete = doubledSlots >= upstream.slots;
        table.setState(upstream, complete ? UpstreamState.LIVE : UpstreamState.SLOW_START, doubledSlots, nowNs);
        return complete;
    }

    private void endWindow(long nowNs) {
        double maxMean = median() * policy.latencyRatio();
        for (Upstream upstream : List.copyOf(table.upstreams())) {
            int samples = upstream.windowSamples;
            upstream.windowSamples = 0;
            if (samples < MIN_WINDOW_SAMPLES || !upstream.isInUse()) {
                continue;
            }
            if (upstream.latency().mean() <= maxMean) {
                upstream.slowWindows = 0;
                continue;
            }
            upstream.slowWindows++;
            if (upstream.slowWindows >= policy.slowWindows()) {
                eject(upstream, nowNs);
            }
        }
    }

    private double median() {
        int step = 1 + table.upstreams().size() / MEDIAN_SAMPLE_SIZE;
        double[] means = new double[MEDIAN_SAMPLE_SIZE + 1];
        int count = 0;
        int position = 0;
        for (Upstream upstream : table.upstreams()) {
            if (position++ % step == 0 && upstream.isInUse() && upstream.windowSamples >= MIN_WINDOW_SAMPLES) {
                means[count++] = upstream.latency().mean();
            }
        }
        // A single upstream has no others to be slower than.
        if (count < 2) {
            return Double.MAX_VALUE / policy.latencyRatio();
        }
        Arrays.sort(means, 0, count);
        // The lower median: of two upstreams the faster one is the reference.
        return means[(count - 1) / 2];
    }

    private void eject(Upstream upstream, long nowNs) {
        if (!upstream.isInUse() || (ejected + 1) * 100L > (long) policy.maxEjectedPercent() * table.owned()) {
            return;
        }
        ejected++;
        table.setState(upstream, UpstreamState.EJECTED, 0, nowNs);
    }

    private void uncountEjected(Upstream upstream) {
        if (upstream.state == UpstreamState.EJECTED) {
            ejected--;
        }
    }

    private void beginSlowStart(Upstream upstream, long nowNs) {
        upstream.latency().reset();
        upstream.slowWindows = 0;
        // One failure before the first success ejects again, since a successful probe is weak evidence of health.
        upstream.consecutiveFailures = policy.consecutiveFailures() - 1;
        table.setState(upstream, UpstreamState.SLOW_START, 1, nowNs);
        slowStarting.add(upstream);
    }
}
