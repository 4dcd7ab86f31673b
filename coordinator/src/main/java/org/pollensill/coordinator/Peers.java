package org.pollensill.coordinator;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoopGroup;
import org.pollensill.coordinator.peer.PeerLink;
import org.pollensill.coordinator.peer.wire.ConfigQuery;
import org.pollensill.coordinator.peer.wire.ConfigReply;
import org.pollensill.coordinator.peer.wire.Frame;
import org.pollensill.coordinator.peer.wire.JobQuery;
import org.pollensill.coordinator.peer.wire.MemoryQuery;
import org.pollensill.coordinator.peer.wire.StoreCall;
import org.pollensill.coordinator.peer.wire.StoreReply;
import org.pollensill.job.JobStatus;
import org.pollensill.leader.LeaderRow;
import org.pollensill.runtime.http.Answer;
import org.pollensill.runtime.http.Headers;
import org.pollensill.runtime.http.HttpException;
import org.pollensill.runtime.http.Request;
import org.pollensill.runtime.net.AddressException;
import org.pollensill.runtime.net.Addresses;

/** Links to the leader and to a few peers that relay calls to the store when it rejects this machine. */
final class Peers {

    /** Maximum number of relay links besides the leader's; one reaches the store even if a third of peers does not. */
    private static final int MAX_RELAY_LINKS = 3;

    private static final long JOB_QUERY_TIMEOUT_MS = 400;

    /** Timeout of the reply to a configuration query beyond its wait; covers the transfer of a large configuration. */
    private static final long CONFIG_REPLY_TIMEOUT_MS = 400;

    /** Added to the timeout of a relayed call for the round trip to the peer. */
    private static final long RELAY_OVERHEAD_MS = 200;

    private final EventLoopGroup loops;
    private final CoordinatorSettings settings;
    private final LeaderUnavailableListener onLeaderUnavailable;
    private final Map<String, Member> members = new HashMap<>();
    private final Map<InetSocketAddress, PeerLink> relayLinks = new HashMap<>();
    private Optional<PeerLink> leaderLink = Optional.empty();
    private String leaderIncarnation = "";
    /** The link to the member that reads the configuration for this region, empty where this process does. */
    private Optional<PeerLink> configReaderLink = Optional.empty();

    /** Receives the incarnation of a leader that is unavailable, and whether that is certain. */
    @FunctionalInterface
    interface LeaderUnavailableListener {
        void accept(String incarnation, boolean confirmed);
    }

    Peers(EventLoopGroup loops, CoordinatorSettings settings, LeaderUnavailableListener onLeaderUnavailable) {
        this.loops = Objects.requireNonNull(loops, "loops is null");
        this.settings = settings;
        this.onLeaderUnavailable = onLeaderUnavailable;
    }

    /** Opens a link to the leader, which detects when another process, or none, listens at its address. */
    void setLeader(Optional<LeaderRow> row) {
        String incarnation = row.map(LeaderRow::incarnation).orElse("");
        if (incarnation.equals(leaderIncarnation)) {
            return;
        }
        leaderLink.ifPresent(PeerLink::close);
        leaderLink = Optional.empty();
        leaderIncarnation = incarnation;
        if (row.isEmpty()) {
            return;
        }
        if (row.get().leader().equals(settings.name())) {
            // The row names this machine but not this process, so the leader was an earlier process that has ended.
            onLeaderUnavailable.accept(incarnation, true);
            return;
        }
        try {
            InetSocketAddress address = Addresses.parse(row.get().peerAddress());
            leaderLink = Optional.of(PeerLink.open(loops, address, settings.name(), new LeaderListener(incarnation)));
        } catch (AddressException e) {
            // Without an address only the expiry of the lease shows that the leader is unavailable.
            leaderLink = Optional.empty();
        }
    }

    private final class LeaderListener implements PeerLink.Listener {

        private final String expectedIncarnation;

        private LeaderListener(String expectedIncarnation) {
            this.expectedIncarnation = expectedIncarnation;
        }

        @Override
        public void identified(String incarnation) {
            if (!incarnation.equals(expectedIncarnation)) {
                onLeaderUnavailable.accept(expectedIncarnation, true);
            }
        }

        @Override
        public void refused() {
            onLeaderUnavailable.accept(expectedIncarnation, false);
        }

        @Override
        public void released(String incarnation) {
            onLeaderUnavailable.accept(incarnation, true);
        }
    }

    /**
     * Applies the member directory: keeps links to a few members, selected by the name of this machine, and to the
     * reader of the configuration.
     */
    void setMembers(Map<String, Member> directory) {
        members.clear();
        members.putAll(directory);
        Optional<String> configReader =
                Member.configReader(members, settings.region()).filter(name -> !name.equals(settings.name()));
        List<String> names = new ArrayList<>(members.keySet());
        names.remove(settings.name());
        Collections.sort(names);
        Collections.shuffle(names, new Random(settings.name().hashCode()));
        Set<String> linked = new LinkedHashSet<>(names.subList(0, Math.min(MAX_RELAY_LINKS, names.size())));
        configReader.ifPresent(linked::add);
        Map<InetSocketAddress, PeerLink> updatedLinks = new HashMap<>();
        for (String name : linked) {
            InetSocketAddress address = members.get(name).peerAddress();
            PeerLink link = relayLinks.remove(address);
            updatedLinks.put(
                    address, link == null ? PeerLink.open(loops, address, settings.name(), new RelayListener()) : link);
        }
        relayLinks.values().forEach(PeerLink::close);
        relayLinks.clear();
        relayLinks.putAll(updatedLinks);
        configReaderLink =
                configReader.map(name -> relayLinks.get(members.get(name).peerAddress()));
    }

    /** Returns whether another member reads the configuration for this region and is connected. */
    boolean hasConfigReader() {
        return configReaderLink.isPresent() && configReaderLink.get().up();
    }

    /**
     * Queries the member that reads the configuration for this region.
     *
     * @param knownVersion the version in force
     * @param waitMs how long the member may wait for a newer version
     * @return the reply; fails if there is no such member or it does not reply
     */
    CompletableFuture<ConfigReply> queryConfiguration(long knownVersion, long waitMs) {
        if (configReaderLink.isEmpty()) {
            return CompletableFuture.failedFuture(new ConfigSourceException("no reader in this region"));
        }
        ConfigQuery.Builder query =
                ConfigQuery.newBuilder().setKnownVersion(knownVersion).setWaitMs((int) waitMs);
        return configReaderLink
                .get()
                .call(Frame.newBuilder().setConfigQuery(query), waitMs + CONFIG_REPLY_TIMEOUT_MS)
                .thenApply(Frame::getConfigReply);
    }

    /** Ignores all events: a relay that is down is skipped, and its link reconnects by itself. */
    private static final class RelayListener implements PeerLink.Listener {

        @Override
        public void identified(String incarnation) {}

        @Override
        public void refused() {}

        @Override
        public void released(String incarnation) {}
    }

    /**
     * Queries the leader for the state of a job.
     *
     * @param jobId the job id
     * @return the state, empty if the leader has no such job or does not reply
     */
    CompletableFuture<Optional<JobStatus>> jobStatus(String jobId) {
        if (leaderLink.isEmpty() || !leaderLink.get().up()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        Frame.Builder query =
                Frame.newBuilder().setJobQuery(JobQuery.newBuilder().setJobId(jobId));
        return leaderLink.get().call(query, JOB_QUERY_TIMEOUT_MS).handle((reply, failure) -> {
            if (failure != null || reply.getJobReply().getStatus().isEmpty()) {
                return Optional.empty();
            }
            return parseStatus(reply.getJobReply().getStatus());
        });
    }

    /**
     * Asks the leader for memory for a job.
     *
     * @param jobId the job id
     * @param bytes the most memory that the job takes
     * @return whether it was granted, false if the leader does not reply
     */
    CompletableFuture<Boolean> grantMemory(String jobId, long bytes) {
        if (leaderLink.isEmpty() || !leaderLink.get().up()) {
            return CompletableFuture.completedFuture(false);
        }
        Frame.Builder query = Frame.newBuilder()
                .setMemoryQuery(MemoryQuery.newBuilder().setJobId(jobId).setBytes(bytes));
        return leaderLink
                .get()
                .call(query, JOB_QUERY_TIMEOUT_MS)
                .handle((reply, failure) ->
                        failure == null && reply.getMemoryReply().getGranted());
    }

    private static Optional<JobStatus> parseStatus(String name) {
        for (JobStatus status : JobStatus.values()) {
            if (status.name().equals(name)) {
                return Optional.of(status);
            }
        }
        return Optional.empty();
    }

    /** Returns whether a peer can relay calls to the store. */
    boolean canRelay() {
        return findRelayLink().isPresent();
    }

    private Optional<PeerLink> findRelayLink() {
        if (leaderLink.isPresent() && leaderLink.get().reachesStore()) {
            return leaderLink;
        }
        for (PeerLink link : relayLinks.values()) {
            if (link.reachesStore()) {
                return Optional.of(link);
            }
        }
        return Optional.empty();
    }

    /**
     * Relays a call to the store through a peer.
     *
     * @param request the request to the store
     * @param timeoutMs the timeout of the call at the peer
     * @return the answer; fails with a {@link HttpException}
     */
    CompletableFuture<Answer> callStore(Request request, long timeoutMs) {
        Optional<PeerLink> link = findRelayLink();
        if (link.isEmpty()) {
            return CompletableFuture.failedFuture(
                    new HttpException(HttpException.Reason.CONNECT_FAILED, false, "no peer reaches the store"));
        }
        StoreCall call = StoreCall.newBuilder()
                .setMethod(request.method())
                .setUri(request.uri())
                .setBody(ByteString.copyFrom(request.body()))
                .setTimeoutMs((int) timeoutMs)
                .build();
        CompletableFuture<Answer> answer = new CompletableFuture<>();
        link.get()
                .call(Frame.newBuilder().setStoreCall(call), timeoutMs + RELAY_OVERHEAD_MS)
                .whenComplete((reply, failure) -> {
                    if (failure != null) {
                        answer.completeExceptionally(new HttpException(
                                HttpException.Reason.TIMED_OUT, true, "relay: " + failure.getMessage()));
                        return;
                    }
                    completeFromReply(answer, reply.getStoreReply());
                });
        return answer;
    }

    private static void completeFromReply(CompletableFuture<Answer> answer, StoreReply reply) {
        if (reply.getStatus() == 0) {
            answer.completeExceptionally(
                    new HttpException(HttpException.Reason.CLOSED, reply.getSent(), "relay: " + reply.getProblem()));
            return;
        }
        answer.complete(
                new Answer(reply.getStatus(), Headers.empty(), reply.getBody().toByteArray()));
    }
}
