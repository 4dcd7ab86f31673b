package org.pollensill.load;

import java.util.List;
import java.util.Random;

/** Open-loop schedule of the intended start times of one kind of request over all phases. */
final class Arrivals {

    private final LoadConfig.Kind kind;
    private final List<LoadConfig.Phase> phases;
    private final double share;
    private final Random random;
    private int phase;
    private double phaseStartNs;
    private double dueNs;

    /**
     * Creates the arrivals of one lane.
     *
     * @param share the share of the lane in the total rate
     */
    Arrivals(LoadConfig.Kind kind, List<LoadConfig.Phase> phases, double share, long seed) {
        this.kind = kind;
        this.phases = List.copyOf(phases);
        this.share = share;
        this.random = new Random(seed);
        advance();
    }

    LoadConfig.Kind kind() {
        return kind;
    }

    boolean hasNext() {
        return phase < phases.size();
    }

    /** Returns the next intended start, relative to the start of the run. */
    long dueNs() {
        return (long) dueNs;
    }

    int phase() {
        return phase;
    }

    /** Advances to the next intended start, which may be in a later phase. */
    void advance() {
        while (hasNext()) {
            double rate = phases.get(phase).ratesPerSecond().getOrDefault(kind.name(), 0.0) * share;
            double endNs = phaseStartNs + phases.get(phase).durationMs() * 1e6;
            double nextNs = rate == 0 ? endNs : dueNs + interArrivalNs(rate);
            if (nextNs < endNs) {
                dueNs = nextNs;
                return;
            }
            phase++;
            phaseStartNs = endNs;
            dueNs = endNs;
        }
    }

    private double interArrivalNs(double perSecond) {
        double meanNs = 1e9 / perSecond;
        return kind.arrivals().equals("uniform") ? meanNs : -meanNs * Math.log(1 - random.nextDouble());
    }
}
