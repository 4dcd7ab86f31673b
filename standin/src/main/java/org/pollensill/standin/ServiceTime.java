package org.pollensill.standin;

import java.util.Random;

/** Samples the service times of one kind of request at one upstream. Guarded by the upstream's lock. */
final class ServiceTime {

    private final StandinConfig.Kind kind;
    private final Random random;

    private ServiceTime(StandinConfig.Kind kind, long seed) {
        this.kind = kind;
        this.random = new Random(seed);
    }

    static ServiceTime of(StandinConfig.Kind kind, long seed) {
        ServiceTime time = new ServiceTime(kind, seed);
        time.sampleMs();
        return time;
    }

    double sampleMs() {
        double sampledMs =
                switch (kind.distribution()) {
                    case "constant" -> kind.meanMs();
                    case "uniform" -> 2 * kind.meanMs() * random.nextDouble();
                    case "exponential" -> -kind.meanMs() * Math.log(1 - random.nextDouble());
                    // Subtracting half the variance keeps the mean at meanMs for every sigma.
                    case "lognormal" ->
                        kind.meanMs()
                                * Math.exp(kind.sigma() * random.nextGaussian() - kind.sigma() * kind.sigma() / 2);
                    default -> throw new IllegalArgumentException("unknown distribution " + kind.distribution());
                };
        return Math.min(sampledMs, kind.boundMs());
    }

    long boundMs() {
        return kind.boundMs();
    }
}
