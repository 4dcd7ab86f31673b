package org.pollensill.coordinator;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class ShutdownSequenceTest {

    private final List<String> steps = new ArrayList<>();
    private final List<Runnable> timers = new ArrayList<>();
    private Runnable released = () -> {};

    private ShutdownSequence sequence() {
        return new ShutdownSequence(
                (delayMs, action) -> timers.add(action),
                done -> {
                    steps.add("release");
                    released = done;
                },
                done -> {
                    steps.add("finish");
                    done.run();
                });
    }

    @Nested
    class Order {

        @Test
        void shouldFinishRequestsAtTheSetTimeWhileTheReleaseIsSlow() {
            sequence().run(() -> steps.add("stopped"));
            timers.get(0).run();
            assertEquals(List.of("release", "finish"), steps);
            released.run();
            assertEquals(List.of("release", "finish", "stopped"), steps);
        }

        @Test
        void shouldAcceptRequestsUntilBalancerDelayHasPassed() {
            sequence().run(() -> steps.add("stopped"));
            released.run();
            assertEquals(List.of("release"), steps);
            timers.get(0).run();
            assertEquals(List.of("release", "finish", "stopped"), steps);
        }
    }
}
