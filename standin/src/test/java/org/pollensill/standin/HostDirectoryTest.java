package org.pollensill.standin;

import java.util.List;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollensill.platform.Host;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against a host list that is fresher than that of the platform, which would hide faults of its readers. */
class HostDirectoryTest {

    private final HostDirectory directory = new HostDirectory(1000);

    @BeforeEach
    void addAndRemoveHost() {
        directory.put(new StandinConfig.ListedHost("e1", "127.0.0.1:1", Host.Role.ENTRY, "r", "z").toHost(), 0);
        directory.publishNow();
        directory.remove("e1", 5000);
    }

    private List<String> namesAt(long nowMs) {
        return directory.visible(nowMs).stream().map(Host::name).toList();
    }

    @Nested
    class Lag {

        @Test
        void shouldShowAChangeOnlyAfterTheLag() {
            assertEquals(List.of("e1"), namesAt(5999));
            assertEquals(List.of(), namesAt(6000));
        }

        @Test
        void shouldKeepTheVisibleListWhenFrozen() {
            directory.freeze(5500, 9000);
            assertEquals(List.of("e1"), namesAt(8999));
            assertEquals(List.of(), namesAt(9000));
        }
    }

    @Nested
    class RateLimit {

        @Test
        void shouldDelayCallsBeyondTheRate() {
            RateLimiter limiter = new RateLimiter(100);
            double last = 0;
            for (int i = 0; i < 110; i++) {
                last = limiter.delayMs(1000);
            }
            // 110 calls at 100 per second, of which a burst of 10 is not delayed.
            assertEquals(1000, last, 0.001);
        }
    }
}
