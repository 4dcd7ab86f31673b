package org.pollensill.admission;

import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollensill.admission.AdmissionDecision.Reason;
import org.pollensill.job.JobRequest;
import org.pollensill.job.JobSchedule;
import org.pollensill.job.PlacementRule;
import org.pollensill.job.ServiceLevel;
import org.pollensill.job.StepSpec;
import org.pollensill.job.Trait;
import org.pollensill.worker.Resources;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class MemoryAdmissionTest {

    private static final String JOB = "aaaaaaaaaaaaaaaa";

    private static JobRequest job(JobSchedule schedule, int count, Trait... traits) {
        Set<Trait> set = EnumSet.noneOf(Trait.class);
        set.addAll(List.of(traits));
        StepSpec step = new StepSpec(count, Resources.NONE, 0, List.of(), set, PlacementRule.ANY, ServiceLevel.NONE);
        return new JobRequest(JOB, "matches", "desk", "", List.of(step), schedule, 0, Optional.empty());
    }

    @Nested
    class Amounts {

        @Test
        void shouldChargeAScheduleForItsOpenOccurrencesOnly() {
            long hundred = JobMemory.maxBytes(job(new JobSchedule(0, 10, 200), 1));
            long tenThousand = JobMemory.maxBytes(job(new JobSchedule(0, 10, 10_000), 1));
            assertEquals(9_800 * Short.BYTES, tenThousand - hundred);
        }

        @Test
        void shouldChargeLongRunningTasksAndGangsForTheirObjects() {
            assertTrue(JobMemory.maxBytes(job(JobSchedule.AT_ONCE, 10_000, Trait.GANG)) > 5_000_000);
            assertTrue(JobMemory.maxBytes(job(JobSchedule.AT_ONCE, 10_000, Trait.RESTART_ALWAYS)) > 5_000_000);
            assertTrue(JobMemory.maxBytes(job(JobSchedule.AT_ONCE, 10_000)) < 100_000);
        }
    }

    @Nested
    class Rejections {

        @Test
        void shouldRejectWhileTheLeaderIsFull() {
            assertTrue(MemoryAdmission.isFull(Optional.of(new LoadForecast(true, Map.of()))));
            assertFalse(MemoryAdmission.isFull(Optional.of(new LoadForecast(false, Map.of()))));
            assertFalse(MemoryAdmission.isFull(Optional.empty()));
        }

        @Test
        void shouldSpreadTheReturnOfCallers() {
            MemoryAdmission admission = new MemoryAdmission(new SplittableRandom(3));
            for (int i = 0; i < 100; i++) {
                AdmissionDecision decision = admission.rejection();
                assertEquals(Reason.MEMORY_FULL, decision.reason());
                assertTrue(decision.retryAfterS() >= 2 && decision.retryAfterS() <= 4, decision.toString());
            }
        }
    }

    @Nested
    class Accounts {

        private final MemoryAccount account = new MemoryAccount();

        @Test
        void shouldGiveNothingBeforeALeaderRowIsRead() {
            assertFalse(account.charge(JOB, 1));
        }

        // A deployment that has just started rejected its first jobs until its first leader had loaded the state.
        @Test
        void shouldGiveACreditBeforeTheFirstLeader() {
            MemoryCredit first = MemoryGrants.firstCredit();
            account.update(first, 0);
            assertTrue(account.charge(JOB, 10_000));
            assertFalse(account.charge("b", first.shareBytes()));
            assertTrue(16 * first.shareBytes() <= JobMemory.limitBytes() / 2);
        }

        @Test
        void shouldRunDownWithoutALeader() {
            account.update(new MemoryCredit(100, 10), 0);
            assertTrue(account.charge("a", 60));
            account.stored("a", 11);
            account.update(new MemoryCredit(100, 10), 60_000);
            assertFalse(account.charge("b", 60));
            assertTrue(account.charge("c", 40));
        }

        @Test
        void shouldCountAJobUntilTheLeaderHasSubtractedIt() {
            account.update(new MemoryCredit(100, 10), 0);
            account.charge("a", 60);
            account.update(new MemoryCredit(100, 20), 100);
            assertFalse(account.charge("b", 60));
            account.stored("a", 21);
            account.update(new MemoryCredit(40, 21), 200);
            assertTrue(account.charge("b", 40));
        }

        @Test
        void shouldCountAJobOfUnknownOutcomeForATime() {
            account.update(new MemoryCredit(100, 10), 0);
            account.charge("a", 60);
            account.unknown("a", 0);
            account.update(new MemoryCredit(100, 99), MemoryAccount.UNKNOWN_HOLD_MS - 1);
            assertFalse(account.charge("b", 60));
            account.update(new MemoryCredit(100, 99), MemoryAccount.UNKNOWN_HOLD_MS);
            assertTrue(account.charge("b", 60));
        }

        @Test
        void shouldChargeARepeatedRequestOnce() {
            account.update(new MemoryCredit(100, 10), 0);
            assertTrue(account.charge("a", 60));
            assertTrue(account.charge("a", 60));
            account.release("a");
            assertTrue(account.charge("b", 100));
        }
    }
}
