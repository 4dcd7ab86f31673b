package org.pollensill.contract;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against reporting "not run" for a request that may have run, and against a dispatch after that report. */
class RequestOutcomePropertyTest {

    private enum AttemptState {
        IN_PROGRESS,
        REFUSED,
        RAN
    }

    @Property(tries = 2000, seed = "42")
    void shouldReportNotRunOnlyWhenNoAttemptRan(@ForAll long seed) {
        Random random = new Random(seed);
        RequestOutcome outcome = RequestOutcome.received();
        List<AttemptState> attempts = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            int event = random.nextInt(5);
            int inProgress = attempts.indexOf(AttemptState.IN_PROGRESS);
            if (event == 0 && !outcome.isDecided()) {
                outcome = outcome.dispatched();
                attempts.add(AttemptState.IN_PROGRESS);
            } else if (event == 1) {
                outcome = outcome.decideWithoutAnswer();
            } else if (inProgress >= 0 && event == 2) {
                outcome = outcome.attemptNotRun();
                attempts.set(inProgress, AttemptState.REFUSED);
            } else if (inProgress >= 0 && event == 3) {
                outcome = outcome.attemptLost();
                attempts.set(inProgress, AttemptState.RAN);
            } else if (inProgress >= 0) {
                outcome = outcome.answered();
                attempts.set(inProgress, AttemptState.RAN);
            }
            if (outcome.state() == RequestOutcome.State.NOT_RUN) {
                assertTrue(attempts.stream().allMatch(AttemptState.REFUSED::equals), attempts::toString);
            }
        }
    }

    @Test
    void shouldRejectADispatchAfterNotRunWasReported() {
        RequestOutcome refused = RequestOutcome.received().decideWithoutAnswer();
        assertEquals(RequestOutcome.State.NOT_RUN, refused.state());
        assertThrows(IllegalStateException.class, refused::dispatched);
    }

    @Test
    void shouldRejectNotRunWhenAnAttemptIsOpen() {
        assertThrows(IllegalArgumentException.class, () -> new RequestOutcome(RequestOutcome.State.NOT_RUN, 1, 0));
    }
}
