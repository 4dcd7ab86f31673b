package org.pollensill.upstream;

import java.util.Optional;
import java.util.random.RandomGenerator;

/** Samples two different upstreams at random and chooses the one with the lower load. */
final class PowerOfTwoChoices implements UpstreamChoice {

    static final PowerOfTwoChoices INSTANCE = new PowerOfTwoChoices();

    private PowerOfTwoChoices() {}

    @Override
    public Optional<Upstream> choose(UpstreamSet usable, Optional<Upstream> avoided, RandomGenerator random) {
        int size = usable.size();
        if (size < 2) {
            return size == 0 ? Optional.empty() : Optional.of(usable.get(0));
        }
        int first = random.nextInt(size);
        int second = random.nextInt(size - 1);
        if (second >= first) {
            second++;
        }
        Upstream firstUpstream = usable.get(first);
        Upstream secondUpstream = usable.get(second);
        if (avoided.isPresent()) {
            if (avoided.get() == firstUpstream) {
                return Optional.of(secondUpstream);
            }
            if (avoided.get() == secondUpstream) {
                return Optional.of(firstUpstream);
            }
        }
        return Optional.of(firstUpstream.load() <= secondUpstream.load() ? firstUpstream : secondUpstream);
    }
}
