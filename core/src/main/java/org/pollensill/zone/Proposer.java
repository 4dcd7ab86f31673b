package org.pollensill.zone;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.pollensill.platform.Commit;
import org.pollensill.platform.Condition;
import org.pollensill.platform.Row;
import org.pollensill.platform.Write;

/** Decides when this process proposes a view, and tracks the commit until its outcome is known. */
final class Proposer {

    /** Max age of a host list that may show that a member no longer exists. */
    private static final long HOST_LIST_MAX_AGE_NS = 10_000 * ZoneTiming.NS_PER_MS;

    private final ZoneConfig config;
    private final ZoneTiming timing;
    private final MemberId self;
    private final FailureDetector failureDetector;
    private final Ownership ownership;

    private Optional<PendingCommit> pending = Optional.empty();
    private OptionalLong lastPromiseNs = OptionalLong.empty();
    private OptionalLong changeNeededSinceNs = OptionalLong.empty();
    private OptionalLong lastReadSentNs = OptionalLong.empty();
    private OptionalLong hostListReceivedNs = OptionalLong.empty();
    private Set<String> listedHosts = Set.of();
    private boolean rowAbsent;
    /** Whether the row is known to hold a later view than the adopted one. */
    private boolean superseded;

    private long adoptedNs;
    private long commitCount;

    Proposer(ZoneConfig config, FailureDetector failureDetector, Ownership ownership) {
        this.config = config;
        this.timing = config.timing();
        this.self = config.self();
        this.failureDetector = failureDetector;
        this.ownership = ownership;
    }

    /** Returns whether the row must be read before this process can proceed. */
    boolean needsRead() {
        return pending.isPresent() ? pending.get().unanswered() : superseded || changeNeededSinceNs.isPresent();
    }

    void tick(long nowNs) {
        pending = pending.map(
                commit -> nowNs - commit.lastSentNs() >= timing.answerTimeoutNs() ? commit.asUnanswered() : commit);
    }

    /** Records the result of a read, and repeats an unanswered commit if the row is still unchanged. */
    void readCompleted(Optional<Row> found, long sentNs, List<Effect> effects, long nowNs) {
        lastReadSentNs = OptionalLong.of(sentNs);
        rowAbsent = found.isEmpty();
        if (pending.isEmpty() || !pending.get().unanswered()) {
            return;
        }
        PendingCommit commit = pending.get();
        long version = found.map(Row::version).orElse(Condition.ABSENT);
        if (version == commit.row().version()) {
            pending = Optional.of(commit.asRepeated(nowNs));
            effects.add(new Effect.CommitView(commit.commit()));
        }
    }

    /** Records the adoption of a view, and drops a pending commit whose condition can no longer hold. */
    void viewAdopted(Row row, long nowNs) {
        changeNeededSinceNs = OptionalLong.empty();
        superseded = false;
        adoptedNs = nowNs;
        pending = pending.filter(commit -> commit.row().version() >= row.version());
    }

    Optional<PendingCommit> pending(String commitId) {
        return pending.filter(commit -> commit.commit().commitId().equals(commitId));
    }

    List<Effect> commitConflicted(String commitId) {
        if (pending(commitId).isEmpty()) {
            return List.of();
        }
        // The row may hold this process's own view, written by an earlier attempt whose answer was lost.
        pending = Optional.empty();
        superseded = true;
        lastReadSentNs = OptionalLong.empty();
        return List.of(new Effect.Log(
                Effect.Log.COMMIT_CONFLICT, "commit " + commitId + " rejected: row version has changed"));
    }

    void markSuperseded() {
        superseded = true;
    }

    List<Effect> commitFailed(String commitId, boolean mayTakeEffect) {
        Optional<PendingCommit> commit = pending(commitId);
        if (commit.isEmpty()) {
            return List.of();
        }
        // If an earlier attempt may have taken effect, a failed repetition does not settle the outcome.
        boolean firstAttempt = commit.get().firstSentNs() == commit.get().lastSentNs();
        pending = mayTakeEffect || !firstAttempt ? Optional.of(commit.get().asUnanswered()) : Optional.empty();
        return List.of(new Effect.Log(Effect.Log.COMMIT_UNKNOWN, "commit failed or was not answered: " + commitId));
    }

    /**
     * Returns whether this process may promise to send no commit. It may not while it has a commit in progress, while
     * reads confirm the view anyway, or while it waits for its earlier promises to expire before a commit.
     */
    boolean mayPromise(Confirmation confirmation, long nowNs) {
        if (!isSettled()) {
            return false;
        }
        long readAgeNs = changeNeededSinceNs.isPresent() ? timing.confirmationValidityNs() : timing.staleReadAgeNs();
        return !confirmation.isReadWithin(readAgeNs, nowNs);
    }

    /** Returns whether this process has no commit in progress and has seen no later view. */
    boolean isSettled() {
        return pending.isEmpty() && !superseded;
    }

    void promiseSent(long nowNs) {
        lastPromiseNs = OptionalLong.of(nowNs);
    }

    void updateHostList(Set<String> names, long nowNs) {
        listedHosts = Set.copyOf(names);
        hostListReceivedNs = OptionalLong.of(nowNs);
    }

    /** Proposes a view if a change is needed and all preconditions of a commit are met. */
    void propose(Optional<ZoneView> view, Optional<Row> row, boolean leaving, long nowNs, List<Effect> effects) {
        if (pending.isPresent()) {
            return;
        }
        boolean recentlyRead =
                lastReadSentNs.isPresent() && nowNs - lastReadSentNs.getAsLong() < timing.confirmationValidityNs() / 2;
        if (view.isEmpty()) {
            if (recentlyRead && rowAbsent && !leaving) {
                commit(
                        Proposal.first(List.of(self), config.slices(), nextCommitId()),
                        Condition.ABSENT,
                        effects,
                        nowNs);
            }
            return;
        }
        ZoneView current = view.get();
        boolean member = current.contains(self);
        Set<MemberId> gone = failureDetector.gonePeers();
        List<MemberId> members = member ? nextMembers(current, leaving, nowNs) : List.of(self);
        boolean needed = member
                ? !members.equals(current.members()) || isResolvable(current, nowNs)
                : !leaving && isAbandoned(current, gone, nowNs);
        if (!needed) {
            changeNeededSinceNs = OptionalLong.empty();
            return;
        }
        if (changeNeededSinceNs.isEmpty()) {
            changeNeededSinceNs = OptionalLong.of(nowNs);
        }
        if (!recentlyRead
                || nowNs - changeNeededSinceNs.getAsLong() < rank(current, nowNs) * timing.proposalDelayPerRankNs()
                || isBoundByPromise(nowNs)) {
            return;
        }
        ZoneView next = Proposal.next(current, members, gone, this::isResolved, !member, nextCommitId());
        commit(next, row.orElseThrow().version(), effects, nowNs);
    }

    /**
     * Returns whether a promise of this process may still confirm the view of another process. Promises that others
     * made before the admission of this process require no wait, because they exclude the commit that admitted it.
     */
    private boolean isBoundByPromise(long nowNs) {
        return lastPromiseNs.isPresent() && nowNs - lastPromiseNs.getAsLong() < timing.takeoverWaitNs();
    }

    private boolean isUnavailable(MemberId member, long nowNs) {
        return failureDetector.isGone(member) || failureDetector.isSuspected(member, nowNs);
    }

    private List<MemberId> nextMembers(ZoneView view, boolean leaving, long nowNs) {
        List<MemberId> members = new ArrayList<>();
        for (MemberId member : view.members()) {
            boolean leaves = member.equals(self) ? leaving : failureDetector.isLeaving(member);
            if (!leaves && !isUnavailable(member, nowNs)) {
                members.add(member);
            }
        }
        members.addAll(failureDetector.newcomers(view, nowNs));
        return members.isEmpty() ? List.of(self) : members;
    }

    /**
     * Returns whether former owners can be removed from the row. The delay after the adoption of a view lets one commit
     * remove those of all slices.
     */
    private boolean isResolvable(ZoneView view, long nowNs) {
        if (nowNs - adoptedNs < timing.resolutionDelayNs()) {
            return false;
        }
        for (int number = 0; number < view.slices().size(); number++) {
            for (FormerOwner formerOwner : view.slices().get(number).formerOwners()) {
                if (isResolved(number, formerOwner)) {
                    return true;
                }
            }
        }
        return false;
    }

    private boolean isResolved(int number, FormerOwner formerOwner) {
        return failureDetector.hasStopped(formerOwner) || ownership.isResolved(number, formerOwner.member());
    }

    private boolean isAbandoned(ZoneView view, Set<MemberId> gone, long nowNs) {
        boolean hostListCurrent =
                hostListReceivedNs.isPresent() && nowNs - hostListReceivedNs.getAsLong() < HOST_LIST_MAX_AGE_NS;
        for (MemberId member : view.members()) {
            boolean unlistedAndSilent = hostListCurrent
                    && !listedHosts.contains(member.name())
                    && failureDetector.isSuspected(member, nowNs);
            if (!gone.contains(member) && !unlistedAndSilent) {
                return false;
            }
        }
        return true;
    }

    private long rank(ZoneView view, long nowNs) {
        long rank = 0;
        for (MemberId member : view.members()) {
            if (member.equals(self)) {
                break;
            }
            rank += isUnavailable(member, nowNs) ? 0 : 1;
        }
        return rank;
    }

    boolean hasNoSuccessor(ZoneView view, long nowNs) {
        List<MemberId> members = nextMembers(view, true, nowNs);
        return members.equals(List.of(self));
    }

    private String nextCommitId() {
        commitCount++;
        return self.name() + "/" + self.incarnation() + "/" + commitCount;
    }

    private void commit(ZoneView next, long version, List<Effect> effects, long nowNs) {
        Row written = new Row(config.rowKey(), version, ViewRow.write(next));
        Commit commit = new Commit(
                next.commitId(),
                List.of(new Condition(config.rowKey(), version)),
                List.of(Write.put(config.rowKey(), written.value())));
        pending = Optional.of(new PendingCommit(commit, next, written, nowNs, nowNs, false));
        effects.add(new Effect.Log(
                Effect.Log.VIEW_PROPOSED,
                "proposed view " + next.epoch() + " with " + next.members().size() + " members"));
        effects.add(new Effect.CommitView(commit));
    }
}
