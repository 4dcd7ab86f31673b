package org.pollensill.zone;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollensill.platform.Row;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.pollensill.zone.ZoneDriver.MS;
import static org.pollensill.zone.ZoneDriver.id;
import static org.pollensill.zone.ZoneDriver.slice;
import static org.pollensill.zone.ZoneDriver.view;

/** Tests each rule of membership and ownership on its own. */
class ZoneMemberTest {

    private static final MemberId A = id("a");
    private static final MemberId B = id("b");
    private static final MemberId C = id("c");

    private static FormerOwner former(MemberId member, long lostEpoch) {
        return new FormerOwner(member, lostEpoch, false);
    }

    private static ZoneDriver driver(ZoneView view, MemberId... answering) {
        return new ZoneDriver(A).with(view).run(100, answering);
    }

    @Nested
    class Takeover {

        @Test
        void shouldUseNothingBeforeTakeoverWaitAndHalfAfterIt() {
            ZoneDriver driver = driver(view(2, slice(A, 2, former(B, 2)), A));
            assertEquals(Share.NONE, driver.run(2100).share());
            assertEquals(Share.HALF, driver.run(200).share());
        }

        @Test
        void shouldUseFullShareImmediatelyWhenFormerOwnerReleases() {
            ZoneDriver driver = driver(view(2, slice(A, 2, former(B, 2)), A));
            List<RunningWork> running = List.of(new RunningWork("u1", "k", 3, 10));
            driver.receive(driver.heartbeat(B, new Release(0, 2, running)));
            assertEquals(Share.FULL, driver.share());
            assertEquals(running, driver.member.reservation(0).running());
            assertEquals(OptionalLong.empty(), driver.member.reservation(0).lastDispatchNs());
            assertEquals(Share.NONE, driver.member.share(1, driver.nowNs));
        }

        /** Guards against slots that stay reserved until the execution bound although the work has ended. */
        @Test
        void shouldReserveLessWhenFormerOwnerReportsEndOfWork() {
            ZoneDriver driver = driver(view(2, slice(A, 2, former(B, 2)), A));
            driver.receive(driver.heartbeat(B, new Release(0, 2, List.of(new RunningWork("u1", "k", 3, 10)))));
            driver.receive(driver.heartbeat(B, new Release(0, 1, List.of(new RunningWork("u1", "k", 9, 10)))));
            driver.receive(driver.heartbeat(B, new Release(0, 2, List.of())));
            assertEquals(List.of(), driver.member.reservation(0).running());
        }

        @Test
        void shouldIgnoreReleaseForEarlierLossOfSlice() {
            ZoneDriver driver = driver(view(5, slice(A, 5, former(B, 5)), A));
            driver.receive(driver.heartbeat(B, new Release(0, 3, List.of())));
            assertEquals(Share.NONE, driver.share());
        }

        @Test
        void shouldReserveFromTheTimeWhenFormerOwnerIsKnownToBeGone() {
            ZoneDriver driver = driver(view(2, slice(A, 2, former(B, 2)), A));
            driver.member.connectionRefused(B.address(), driver.nowNs, driver.nowNs);
            assertEquals(Share.FULL, driver.share());
            assertEquals(
                    OptionalLong.of(driver.nowNs), driver.member.reservation(0).lastDispatchNs());
        }

        @Test
        void shouldUseNothingWhenTwoFormerOwnersAreUnresolved() {
            ZoneDriver driver = driver(view(3, slice(A, 3, former(B, 2), former(C, 3)), A));
            assertEquals(Share.NONE, driver.run(3000).share());
            driver.member.declareGone("c", driver.nowNs);
            assertEquals(Share.HALF, driver.share());
        }

        @Test
        void shouldReserveNothingWhenSliceHadNoOwnerBefore() {
            assertEquals(
                    Reservation.NONE, driver(view(1, slice(A, 1), A)).member.reservation(0));
        }

        /** Guards against overcommitment: members that are only partitioned may confirm each other by promises. */
        @Test
        void shouldUseNothingWhenOwnerOfAbandonedViewIsNotKnownToBeGone() throws ViewRowException {
            ZoneDriver driver = driver(view(1, slice(B, 1), B, C));
            driver.member.updateHostList(Set.of("a"), driver.nowNs);
            driver.run(2000);
            ZoneView next = driver.proposed();
            assertEquals(
                    Optional.of(new FormerOwner(B, 2, true)),
                    next.slices().get(0).formerOwner(B));
            assertEquals(Share.NONE, driver.with(next).run(4000).share());
        }

        @Test
        void shouldNotProposeAViewWhileAMemberOfTheOldViewIsListed() {
            ZoneDriver driver = driver(view(1, slice(B, 1), B));
            driver.member.updateHostList(Set.of("a", "b"), driver.nowNs);
            assertEquals(List.of(), driver.run(5000).commits());
        }
    }

    @Nested
    class Confirmations {

        @Test
        void shouldDropToHalfWhenReadsFailAndMemberIsSilent() {
            ZoneDriver driver = driver(view(1, slice(A, 1), A, B));
            assertEquals(Share.FULL, driver.share());
            driver.storeUp = false;
            assertEquals(Share.HALF, driver.run(2600).share());
        }

        @Test
        void shouldStayFullWhenAllOtherMembersPromise() {
            ZoneDriver driver = driver(view(1, slice(A, 1), A, B));
            driver.storeUp = false;
            driver.run(2600, B).promise(B);
            assertEquals(Share.FULL, driver.share());
            assertEquals(Share.HALF, driver.run(2300, B).share());
        }

        @Test
        void shouldStayFullWhenMemberTerminatesWhileItsPromiseIsValid() {
            ZoneDriver driver = driver(view(1, slice(A, 1), A, B));
            driver.storeUp = false;
            driver.run(2600, B).promise(B);
            driver.member.connectionRefused(B.address(), driver.nowNs, driver.nowNs);
            assertEquals(Share.FULL, driver.run(10_000).share());
        }

        /** A commit of a member that terminated without a valid promise may still take effect. */
        @Test
        void shouldDropToHalfWhenMemberTerminatedWithoutPromise() {
            ZoneDriver driver = driver(view(1, slice(A, 1), A, B));
            driver.storeUp = false;
            driver.member.connectionRefused(B.address(), driver.nowNs, driver.nowNs);
            assertEquals(Share.HALF, driver.run(2600).share());
        }

        /** Guards against the only member of a view staying confirmed after its own commit gave slices away. */
        @Test
        void shouldDropToHalfWhenOwnCommitHasNoAnswer() {
            ZoneDriver driver = driver(view(1, slice(A, 1), A));
            driver.storeUp = false;
            assertEquals(Share.FULL, driver.run(3000).share());
            driver.storeUp = true;
            driver.run(2000);
            driver.receive(driver.heartbeat(B));
            driver.run(100);
            driver.member.commitFailed(driver.commits().get(0).commitId(), true);
            driver.storeUp = false;
            assertEquals(Share.HALF, driver.run(3000).share());
        }

        /** Guards against a brief drop to half for members that receive a later view from a peer. */
        @Test
        void shouldStayConfirmedWhenLaterViewIsRelayed() {
            ZoneDriver driver = driver(view(1, slice(A, 1), A, B));
            driver.member.viewRelayed(ZoneDriver.row(view(2, slice(A, 1), A, B, C)), driver.nowNs);
            assertEquals(Share.FULL, driver.share());
        }

        @Test
        void shouldCountAgeOfReportedReadFromOwnHeartbeat() {
            ZoneDriver driver = driver(view(1, slice(A, 1), A, B));
            driver.storeUp = false;
            Heartbeat sent =
                    driver.run(2600, B).all(Effect.SendHeartbeat.class).get(10).heartbeat();
            driver.member.onHeartbeatReply(
                    new HeartbeatReply(B, sent.sequence(), 1, false, 0, OptionalLong.of(100), List.of()), driver.nowNs);
            assertTrue(driver.member.isConfirmed(driver.nowNs));
            assertFalse(driver.member.isConfirmed(driver.nowNs + 1900 * MS));
        }
    }

    @Nested
    class Promises {

        @Test
        void shouldPromiseOnlyWhenReadsFailAndViewIsTheSame() {
            ZoneDriver driver = driver(view(3, slice(A, 1), A, B));
            assertEquals(0, driver.receive(driver.heartbeat(B)).promiseMs());
            driver.storeUp = false;
            driver.run(1000, B);
            assertEquals(2000, driver.receive(driver.heartbeat(B)).promiseMs());
            assertEquals(
                    0, driver.receive(new Heartbeat(B, 2, 2, false, List.of())).promiseMs());
            assertEquals(0, driver.receive(driver.heartbeat(C)).promiseMs());
        }

        @Test
        void shouldCommitOnlyAfterOwnPromisesHaveExpired() {
            ZoneDriver driver = driver(view(1, slice(A, 1), A, B));
            driver.storeUp = false;
            driver.run(3000, B);
            assertEquals(2000, driver.receive(driver.heartbeat(B)).promiseMs());
            driver.member.declareGone("b", driver.nowNs);
            driver.storeUp = true;
            assertEquals(List.of(), driver.run(2200).commits());
            assertEquals(1, driver.run(150).commits().size());
        }

        /** Guards against a promise for a view that the member itself replaced in an earlier attempt of its commit. */
        @Test
        void shouldPromiseNothingAfterConflictUntilLaterViewIsAdopted() {
            ZoneDriver driver = driver(view(1, slice(A, 1), A, B));
            driver.receive(driver.heartbeat(C));
            driver.run(100, B);
            driver.member.commitConflicted(driver.commits().get(0).commitId());
            driver.storeUp = false;
            driver.run(3000, B);
            assertEquals(0, driver.receive(driver.heartbeat(B)).promiseMs());
        }
    }

    @Nested
    class Membership {

        @Test
        void shouldRemoveSilentMember() throws ViewRowException {
            ZoneDriver driver = driver(view(1, slice(B, 1), A, B));
            assertEquals(List.of(), driver.run(1300).commits());
            ZoneView next = driver.run(300).proposed();
            assertEquals(List.of(A), next.members());
            assertEquals(slice(A, 2, former(B, 2)), next.slices().get(0));
        }

        @Test
        void shouldRemoveNoMemberRightAfterItsOwnPause() {
            ZoneDriver driver = driver(view(1, slice(A, 1), A, B));
            driver.nowNs += 30_000 * MS;
            assertEquals(List.of(), driver.run(1000).commits());
        }

        @Test
        void shouldDeferRemovalToMemberOfLowerRank() {
            ZoneDriver driver = driver(view(1, slice(A, 1), B, A, C), B);
            assertEquals(List.of(), driver.run(1600, B).commits());
            assertEquals(1, driver.run(400, B).commits().size());
        }

        @Test
        void shouldTakeOverWithoutFormerOwnerWhenOwnerIsKnownToBeGone() throws ViewRowException {
            ZoneDriver driver = driver(view(1, slice(B, 1), A, B));
            driver.member.connectionRefused(B.address(), driver.nowNs, driver.nowNs);
            assertEquals(slice(A, 2), driver.run(100).proposed().slices().get(0));
        }

        @Test
        void shouldNotMarkProcessAsGoneThatStartedAfterTheAttempt() {
            ZoneDriver driver = driver(view(1, slice(A, 1), A, B), B);
            long attemptNs = driver.nowNs - 5000 * MS;
            assertEquals(List.of(), driver.member.connectionRefused(B.address(), attemptNs, driver.nowNs));
            assertEquals(
                    List.of(),
                    driver.member.incarnationSeen(B.address(), B.incarnation(), driver.nowNs + 1, driver.nowNs + 1));
            assertEquals(
                    1,
                    driver.member
                            .incarnationSeen(B.address(), "2", driver.nowNs + 1, driver.nowNs + 1)
                            .size());
        }

        @Test
        void shouldAdmitNewcomerWithEvenNumberOfSlices() throws ViewRowException {
            ZoneDriver driver = driver(view(1, slice(A, 1), A));
            driver.receive(driver.heartbeat(B));
            ZoneView next = driver.run(100).proposed();
            assertEquals(List.of(A, B), next.members());
            assertEquals(
                    2,
                    next.slices().stream()
                            .filter(slice -> slice.owner().equals(B))
                            .count());
        }

        /** Guards against repeated readmission of a leaving member by a delayed heartbeat. */
        @Test
        void shouldNotReadmitLeavingProcessWhenDelayedHeartbeatArrives() {
            ZoneDriver driver = driver(view(1, slice(A, 1), A));
            driver.receive(new Heartbeat(B, 2, 1, true, List.of()));
            driver.receive(new Heartbeat(B, 1, 1, false, List.of()));
            assertEquals(List.of(), driver.run(500).commits());
        }

        @Test
        void shouldHandOverItsSlicesWhenItLeaves() throws ViewRowException {
            ZoneDriver driver = driver(view(1, slice(A, 1), A, B), B);
            driver.member.leave();
            assertFalse(driver.member.isDrained(driver.nowNs));
            ZoneView next = driver.run(100, B).proposed();
            assertEquals(slice(B, 2, former(A, 2)), next.slices().get(0));
            driver.effects.clear();
            driver.member.viewRelayed(ZoneDriver.row(next), driver.nowNs).forEach(driver.effects::add);
            Release release = driver.all(Effect.SendHeartbeat.class)
                    .get(0)
                    .heartbeat()
                    .releases()
                    .get(0);
            assertEquals(new Release(0, 2, List.of(new RunningWork("u0", "k", 2, 30))), release);
            assertFalse(driver.member.isDrained(driver.nowNs));
            driver.effects.clear();
            driver.record(driver.member.viewRelayed(ZoneDriver.row(view(3, slice(B, 2), B)), driver.nowNs));
            assertTrue(driver.member.isDrained(driver.nowNs));
            // The work is still in progress, so the owner continues to receive the release.
            assertEquals(
                    release,
                    driver.all(Effect.SendHeartbeat.class)
                            .get(0)
                            .heartbeat()
                            .releases()
                            .get(0));
        }
    }

    @Nested
    class Commits {

        @Test
        void shouldRepeatSameCommitWhenRowIsUnchangedAfterLostAnswer() {
            ZoneDriver driver = new ZoneDriver(A).run(100);
            driver.member.commitFailed(driver.commits().get(0).commitId(), true);
            driver.run(1000);
            assertEquals(driver.commits().get(0), driver.commits().get(1));
        }

        @Test
        void shouldAdoptOwnViewWhenReadBackAfterLostAnswer() throws ViewRowException {
            ZoneDriver driver = new ZoneDriver(A).run(100);
            driver.member.commitFailed(driver.commits().get(0).commitId(), true);
            driver.with(driver.proposed()).run(1000);
            assertEquals(1, driver.commits().size());
            assertEquals(Share.FULL, driver.share());
        }

        /** Guards against a member that proposes the same view at every tick after a conflict. */
        @Test
        void shouldReadBeforeProposingAgainAfterConflict() {
            ZoneDriver driver = new ZoneDriver(A).run(100);
            driver.member.commitConflicted(driver.commits().get(0).commitId());
            driver.storeUp = false;
            assertEquals(1, driver.run(1000).commits().size());
        }

        @Test
        void shouldKeepViewWhenRowIsUnreadable() {
            ZoneDriver driver = driver(view(1, slice(A, 1), A));
            driver.row = Optional.of(new Row(ZoneDriver.KEY, 2, "{\"epoch\":2}"));
            driver.run(1000);
            assertEquals(1, driver.member.view().orElseThrow().epoch());
            assertTrue(
                    driver.all(Effect.Log.class).stream().anyMatch(log -> log.event() == Effect.Log.VIEW_UNREADABLE));
        }
    }
}
