package org.pollensill.zone;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.pollensill.platform.Row;

/**
 * State machine of a process of a role in an availability zone: its membership, its slices and the views that it
 * proposes. The daemon passes in timer ticks, results and messages, and performs the returned effects in order. Not
 * thread-safe; the daemon serialises calls with its lock of the zone view.
 */
public final class ZoneMember {

    private final ZoneConfig config;
    private final ZoneTiming timing;
    private final MemberId self;
    private final FailureDetector failureDetector;
    private final Confirmation confirmation;
    private final Ownership ownership;
    private final HeartbeatComposer heartbeatComposer;
    private final ReadSchedule readSchedule;
    private final Proposer proposer;

    private Optional<ZoneView> view = Optional.empty();
    private Optional<Row> row = Optional.empty();
    private OptionalLong lastHeartbeatNs = OptionalLong.empty();
    private long lastTickNs;
    private long adoptedNs;
    private boolean leaving;

    /**
     * Creates a member that has no view.
     *
     * @param config the configuration
     * @param runningWorkSource supplies the work in progress in slices
     * @param nowNs the current time
     * @throws NullPointerException if an argument is null
     */
    public ZoneMember(ZoneConfig config, RunningWorkSource runningWorkSource, long nowNs) {
        this.config = Objects.requireNonNull(config, "config is null");
        Objects.requireNonNull(runningWorkSource, "sliceUse is null");
        timing = config.timing();
        self = config.self();
        failureDetector = new FailureDetector(self, timing);
        confirmation = new Confirmation(self, timing);
        ownership = new Ownership(self, timing);
        heartbeatComposer = new HeartbeatComposer(config, runningWorkSource);
        readSchedule = new ReadSchedule(self, timing);
        proposer = new Proposer(config, failureDetector, ownership);
        lastTickNs = nowNs;
        adoptedNs = nowNs;
    }

    /**
     * Advances the timers. Must be called at least every 50 ms.
     *
     * @param nowNs the current time
     * @return the effects to perform
     */
    public List<Effect> tick(long nowNs) {
        if (nowNs - lastTickNs >= timing.stallThresholdNs()) {
            failureDetector.resetSilence(nowNs);
        }
        lastTickNs = nowNs;
        List<Effect> effects = new ArrayList<>();
        if (lastHeartbeatNs.isEmpty() || nowNs - lastHeartbeatNs.getAsLong() >= timing.heartbeatIntervalNs()) {
            sendHeartbeats(Optional.empty(), effects, nowNs);
            failureDetector.removeExpired(view.map(ZoneView::processes).orElse(Set.of()), nowNs);
        }
        proposer.tick(nowNs);
        if (proposer.needsRead()) {
            readSchedule.request();
        }
        boolean confirmed = confirmation.isReadWithin(timing.staleReadAgeNs(), nowNs);
        if (readSchedule.isFree(nowNs) && readSchedule.isDue(confirmed, view, failureDetector, nowNs)) {
            effects.add(new Effect.ReadRow(readSchedule.start(nowNs), config.rowKey()));
        }
        proposer.propose(view, row, leaving, nowNs, effects);
        return effects;
    }

    private void sendHeartbeats(Optional<Row> relay, List<Effect> effects, long nowNs) {
        lastHeartbeatNs = OptionalLong.of(nowNs);
        effects.addAll(heartbeatComposer.composeHeartbeats(view, leaving, relay, nowNs));
    }

    /**
     * Reports the result of a read.
     *
     * @param readId identity of the read
     * @param found the row, or empty if it is absent
     * @param nowNs the current time
     * @return the effects to perform
     */
    public List<Effect> readSucceeded(long readId, Optional<Row> found, long nowNs) {
        List<Effect> effects = new ArrayList<>();
        OptionalLong sentNs = readSchedule.complete(readId, true);
        if (sentNs.isEmpty()) {
            return effects;
        }
        if (found.isPresent()) {
            adopt(found.get(), sentNs, effects, nowNs);
        }
        proposer.readCompleted(found, sentNs.getAsLong(), effects, nowNs);
        return effects;
    }

    /**
     * Reports that a read failed.
     *
     * @param readId identity of the read
     */
    public void readFailed(long readId) {
        readSchedule.complete(readId, false);
    }

    /**
     * Reports that a commit took effect.
     *
     * @param commitId identity of the commit
     * @param version the row's new version
     * @param nowNs the current time
     * @return the effects to perform
     */
    public List<Effect> commitSucceeded(String commitId, long version, long nowNs) {
        List<Effect> effects = new ArrayList<>();
        Optional<PendingCommit> pending = proposer.pending(commitId);
        if (pending.isEmpty()) {
            return effects;
        }
        Row written = pending.get().row();
        OptionalLong sentNs = OptionalLong.of(pending.get().firstSentNs());
        adopt(new Row(written.key(), version, written.value()), sentNs, effects, nowNs);
        sendHeartbeats(row, effects, nowNs);
        return effects;
    }

    /**
     * Reports that the condition of a commit did not hold.
     *
     * @param commitId identity of the commit
     * @return the effects to perform
     */
    public List<Effect> commitConflicted(String commitId) {
        return proposer.commitConflicted(commitId);
    }

    /**
     * Reports that a commit failed or ended without an answer.
     *
     * @param commitId identity of the commit
     * @param mayTakeEffect whether it may have taken effect or may still do so
     * @return the effects to perform
     */
    public List<Effect> commitFailed(String commitId, boolean mayTakeEffect) {
        return proposer.commitFailed(commitId, mayTakeEffect);
    }

    private void adopt(Row received, OptionalLong readSentNs, List<Effect> effects, long nowNs) {
        if (row.isPresent() && received.version() <= row.get().version()) {
            if (received.version() == row.get().version()) {
                readSentNs.ifPresent(confirmation::recordRead);
            }
            return;
        }
        ZoneView next;
        try {
            next = ViewRow.read(received.value());
        } catch (ViewRowException e) {
            effects.add(new Effect.Log(Effect.Log.VIEW_UNREADABLE, e.getMessage()));
            return;
        }
        view = Optional.of(next);
        row = Optional.of(received);
        adoptedNs = nowNs;
        confirmation.viewAdopted(readSentNs);
        next.processes().forEach(member -> failureDetector.register(member, nowNs));
        effects.add(ownership.adopt(next, failureDetector.gonePeers(), nowNs));
        proposer.viewAdopted(received, nowNs);
        sendHeartbeats(Optional.empty(), effects, nowNs);
    }

    /**
     * Handles a heartbeat.
     *
     * @param heartbeat the heartbeat
     * @param nowNs the current time
     * @return the effects to perform
     */
    public List<Effect> onHeartbeat(Heartbeat heartbeat, long nowNs) {
        List<Effect> effects = new ArrayList<>();
        MemberId from = heartbeat.from();
        failureDetector.messageReceived(from, heartbeat.leaving(), nowNs);
        long epoch = epoch();
        if (view.isPresent() && !view.get().contains(from) && heartbeat.epoch() <= epoch) {
            failureDetector.admissionRequested(from, nowNs);
        }
        observeEpoch(from, heartbeat.epoch());
        heartbeat.releases().forEach(release -> ownership.releaseReceived(from, release, nowNs));
        boolean sameView = isMember() && heartbeat.epoch() == epoch;
        long promiseMs = 0;
        if (sameView && view.get().contains(from) && proposer.mayPromise(confirmation, nowNs)) {
            proposer.promiseSent(nowNs);
            promiseMs = timing.confirmationValidityNs() / ZoneTiming.NS_PER_MS;
        }
        OptionalLong readAgeNs = sameView ? confirmation.readAgeNs(nowNs) : OptionalLong.empty();
        // The process that commits a view relays it to all others. A reply relays it only to a process that has no view
        // or that has not adopted it within a heartbeat interval.
        boolean lagging = heartbeat.epoch() < epoch
                && (heartbeat.epoch() == 0 || nowNs - adoptedNs >= timing.heartbeatIntervalNs());
        HeartbeatReply reply = heartbeatComposer.composeReply(heartbeat, view, leaving, promiseMs, readAgeNs);
        effects.add(new Effect.SendReply(from, reply, lagging ? row : Optional.empty()));
        return effects;
    }

    /**
     * Handles the reply to a heartbeat.
     *
     * @param reply the reply
     * @param nowNs the current time
     */
    public void onHeartbeatReply(HeartbeatReply reply, long nowNs) {
        MemberId from = reply.from();
        failureDetector.messageReceived(from, reply.leaving(), nowNs);
        reply.releases().forEach(release -> ownership.releaseReceived(from, release, nowNs));
        observeEpoch(from, reply.epoch());
        OptionalLong sentNs = heartbeatComposer.sentNs(reply.sequence());
        if (reply.epoch() == epoch() && view.isPresent() && sentNs.isPresent()) {
            confirmation.recordReply(reply, sentNs.getAsLong());
        }
    }

    private void observeEpoch(MemberId member, long epoch) {
        failureDetector.observeEpoch(member, epoch);
        if (epoch > epoch()) {
            proposer.markSuperseded();
        }
    }

    /**
     * Handles a row that another process relayed.
     *
     * @param relayed the row
     * @param nowNs the current time
     * @return the effects to perform
     */
    public List<Effect> viewRelayed(Row relayed, long nowNs) {
        List<Effect> effects = new ArrayList<>();
        if (relayed.key().equals(config.rowKey())
                && (row.isEmpty() || relayed.version() > row.get().version())) {
            adopt(relayed, OptionalLong.empty(), effects, nowNs);
        }
        return effects;
    }

    /**
     * Reports that a connection to a peer address was refused.
     *
     * @param address the address
     * @param attemptNs when the connection attempt began
     * @param nowNs the current time
     * @return the effects to perform
     */
    public List<Effect> connectionRefused(String address, long attemptNs, long nowNs) {
        return membersGone(failureDetector.markGoneAt(address, "", attemptNs), nowNs);
    }

    /**
     * Reports which incarnation answered at a peer address.
     *
     * @param address the address
     * @param incarnation the incarnation
     * @param attemptNs when the connection attempt began
     * @param nowNs the current time
     * @return the effects to perform
     */
    public List<Effect> incarnationSeen(String address, String incarnation, long attemptNs, long nowNs) {
        return membersGone(failureDetector.markGoneAt(address, incarnation, attemptNs), nowNs);
    }

    /**
     * Reports that an operator declared a host gone.
     *
     * @param name the host's name
     * @param nowNs the current time
     * @return the effects to perform
     */
    public List<Effect> declareGone(String name, long nowNs) {
        return membersGone(failureDetector.markGoneByName(name), nowNs);
    }

    private List<Effect> membersGone(List<MemberId> members, long nowNs) {
        List<Effect> effects = new ArrayList<>();
        for (MemberId member : members) {
            confirmation.memberGone(member, nowNs);
            ownership.memberGone(member, nowNs);
            effects.add(new Effect.Log(Effect.Log.MEMBER_GONE, "process is gone: " + member));
        }
        return effects;
    }

    /**
     * Updates the host list of the platform.
     *
     * @param names the names of the hosts of this role that are live or leaving
     * @param nowNs the current time
     */
    public void updateHostList(Set<String> names, long nowNs) {
        proposer.updateHostList(names, nowNs);
    }

    /** Starts to leave the zone: the other members take over all slices. */
    public void leave() {
        leaving = true;
    }

    /**
     * Returns whether this process is leaving and has handed over all slices, or no other member can take them over.
     *
     * @param nowNs the current time
     * @return whether the process may terminate as far as its slices are concerned
     */
    public boolean isDrained(long nowNs) {
        if (!leaving || view.isEmpty()) {
            return leaving;
        }
        return isMember()
                ? proposer.hasNoSuccessor(view.get(), nowNs)
                : !view.get().formerOwners().contains(self);
    }

    /**
     * Returns the share of a slice that may be used now. Callers must check it again immediately before each use.
     *
     * @param slice the slice's number
     * @param nowNs the current time
     * @return the share
     */
    public Share share(int slice, long nowNs) {
        return ownership.share(slice, isConfirmed(nowNs), nowNs);
    }

    /**
     * Returns the right to use a slice now.
     *
     * @param slice the slice's number
     * @param nowNs the current time
     * @return the right
     */
    public SliceRight right(int slice, long nowNs) {
        return ownership.right(slice, isConfirmed(nowNs), nowNs);
    }

    /**
     * Returns the capacity of a slice that is reserved on behalf of former owners.
     *
     * @param slice the slice's number
     * @return the reservation
     */
    public Reservation reservation(int slice) {
        return ownership.reservation(slice);
    }

    /**
     * Returns whether the view is confirmed to be the latest.
     *
     * @param nowNs the current time
     * @return whether it is confirmed
     */
    public boolean isConfirmed(long nowNs) {
        return isMember() && confirmation.isConfirmed(view.get(), proposer.isSettled(), nowNs);
    }

    /**
     * Returns whether this process is a member of the view.
     *
     * @return whether it is a member
     */
    public boolean isMember() {
        return view.isPresent() && view.get().contains(self);
    }

    /**
     * Returns the view.
     *
     * @return the view, or empty until one is adopted
     */
    public Optional<ZoneView> view() {
        return view;
    }

    private long epoch() {
        return view.map(ZoneView::epoch).orElse(0L);
    }
}
