package org.pollensill.runtime.zone;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.pollensill.platform.Commit;
import org.pollensill.platform.CommitOutcome;
import org.pollensill.platform.Host;
import org.pollensill.platform.PlatformException;
import org.pollensill.platform.Row;
import org.pollensill.platform.TableService;
import org.pollensill.runtime.event.EventLog;
import org.pollensill.runtime.event.RuntimeEvent;
import org.pollensill.runtime.net.AddressException;
import org.pollensill.runtime.net.Addresses;
import org.pollensill.runtime.peer.PeerHub;
import org.pollensill.runtime.peer.PeerIdentity;
import org.pollensill.runtime.peer.wire.Envelope;
import org.pollensill.runtime.peer.wire.ViewRelay;
import org.pollensill.zone.Effect;
import org.pollensill.zone.MemberId;
import org.pollensill.zone.Reservation;
import org.pollensill.zone.RunningWorkSource;
import org.pollensill.zone.SliceRight;
import org.pollensill.zone.ViewRow;
import org.pollensill.zone.ZoneConfig;
import org.pollensill.zone.ZoneMember;
import org.pollensill.zone.ZoneTiming;
import org.pollensill.zone.ZoneView;

/**
 * Runs the membership protocol of a role in a zone. Each decision is made under the lock of the zone view, the
 * outermost lock; the effects are performed after the lock is released.
 */
public final class ZoneAgent {

    private static final EventLog LOG = EventLog.of(ZoneAgent.class);
    private static final long TICK_MS = 50;

    private final ZoneConfig config;
    private final ZoneMember member;
    private final TableService tables;
    private final ZoneLinks links;
    private final LongSupplier clockNs;
    private final Map<Object, OptionalLong> readAgesMs = new ConcurrentHashMap<>();
    private final CompletableFuture<Void> drained = new CompletableFuture<>();

    ZoneAgent(ZoneConfig config, RunningWorkSource use, TableService tables, ZoneLinks links, LongSupplier clockNs) {
        this.config = Objects.requireNonNull(config, "config is null");
        this.tables = Objects.requireNonNull(tables, "tables is null");
        this.links = Objects.requireNonNull(links, "links is null");
        this.clockNs = Objects.requireNonNull(clockNs, "clockNs is null");
        member = new ZoneMember(config, use, clockNs.getAsLong());
    }

    /**
     * Creates an agent that uses a daemon's peer connections.
     *
     * @param hub the peer connections
     * @param self the identity of this process
     * @param peers addresses of peers to query for the view while the store cannot be read
     * @param slices number of slices
     * @param tables the table service
     * @param use supplies the work that is running in each slice
     * @return the agent
     */
    public static ZoneAgent of(
            PeerHub hub,
            PeerIdentity self,
            List<InetSocketAddress> peers,
            int slices,
            TableService tables,
            RunningWorkSource use) {
        MemberId id = new MemberId(self.host(), self.address(), self.incarnation());
        ZoneConfig config = new ZoneConfig(
                id,
                ViewRow.key(self.role(), self.zone()),
                slices,
                peers.stream().map(Addresses::format).toList(),
                ZoneTiming.standard());
        HubLinks links = new HubLinks(hub, self);
        ZoneAgent agent = new ZoneAgent(config, use, tables, links, System::nanoTime);
        hub.add(links.listener(agent));
        return agent;
    }

    /**
     * Starts the timers.
     *
     * @param timer the executor that runs the timers
     */
    public void start(ScheduledExecutorService timer) {
        // Fixed delay, so that ticks missed during a pause are not made up: one tick detects the gap.
        timer.scheduleWithFixedDelay(
                () -> {
                    try {
                        tick();
                    } catch (RuntimeException e) {
                        // An exception would cancel the periodic task.
                        LOG.log(RuntimeEvent.HANDLER_FAILED, e, new Object[0]);
                    }
                },
                0,
                TICK_MS,
                TimeUnit.MILLISECONDS);
    }

    void tick() {
        decide(() -> member.tick(clockNs.getAsLong()));
        boolean isDrained;
        synchronized (member) {
            isDrained = member.isDrained(clockNs.getAsLong());
        }
        if (isDrained) {
            drained.complete(null);
        }
    }

    private void decide(Supplier<List<Effect>> decision) {
        decide(decision, envelope -> {});
    }

    private void decide(Supplier<List<Effect>> decision, Consumer<Envelope> reply) {
        List<Effect> effects;
        synchronized (member) {
            effects = decision.get();
        }
        for (Effect effect : effects) {
            perform(effect, reply);
        }
    }

    private void perform(Effect effect, Consumer<Envelope> reply) {
        if (effect instanceof Effect.ReadRow read) {
            read(read.readId());
        } else if (effect instanceof Effect.CommitView commit) {
            commit(commit.commit());
        } else if (effect instanceof Effect.SendHeartbeat send) {
            if (send.relay().isPresent()) {
                links.send(send.address(), ZoneMessages.relay(config.rowKey(), send.relay(), OptionalLong.empty()));
            }
            links.send(send.address(), ZoneMessages.heartbeat(send.heartbeat()));
        } else if (effect instanceof Effect.SendReply send) {
            // The read age is sent directly before the reply on the same connection; the receiver pairs the two.
            OptionalLong readAgeMs = send.reply().readAgeMs();
            if (readAgeMs.isPresent() || send.relay().isPresent()) {
                reply.accept(ZoneMessages.relay(config.rowKey(), send.relay(), readAgeMs));
            }
            reply.accept(ZoneMessages.reply(send.reply()));
        } else if (effect instanceof Effect.Log log) {
            LOG.log(ZoneEvent.of(log), "view", config.rowKey(), "detail", log.message());
        }
    }

    private void read(long readId) {
        tables.read(List.of(config.rowKey()), List.of()).whenComplete((rows, failure) -> {
            if (failure != null) {
                synchronized (member) {
                    member.readFailed(readId);
                }
                return;
            }
            Optional<Row> row = rows.stream()
                    .filter(found -> found.key().equals(config.rowKey()))
                    .findFirst();
            decide(() -> member.readSucceeded(readId, row, clockNs.getAsLong()));
        });
    }

    private void commit(Commit commit) {
        tables.commit(commit).whenComplete((outcome, failure) -> {
            String commitId = commit.commitId();
            if (failure != null) {
                boolean notApplied = PlatformException.effectOf(failure) == PlatformException.Effect.NONE;
                decide(() -> member.commitFailed(commitId, !notApplied));
            } else if (outcome instanceof CommitOutcome.Committed committed) {
                long version = committed.versions().getOrDefault(config.rowKey(), 0L);
                // If the answer lacks the version, the row is read back.
                decide(() -> version == 0
                        ? member.commitFailed(commitId, true)
                        : member.commitSucceeded(commitId, version, clockNs.getAsLong()));
            } else {
                decide(() -> member.commitConflicted(commitId));
            }
        });
    }

    /**
     * Handles a message from a process of the same role and zone.
     *
     * @param link the connection; pairs a relayed read age with the heartbeat reply that follows it
     * @param from the sender
     * @param envelope the message
     * @param reply sends a message on the same connection
     */
    void onMessage(Object link, MemberId from, Envelope envelope, Consumer<Envelope> reply) {
        long nowNs = clockNs.getAsLong();
        switch (envelope.getMessageCase()) {
            case HEARTBEAT ->
                decide(() -> member.onHeartbeat(ZoneMessages.heartbeat(from, envelope.getHeartbeat()), nowNs), reply);
            case HEARTBEAT_REPLY -> {
                OptionalLong ageMs =
                        Optional.ofNullable(readAgesMs.remove(link)).orElse(OptionalLong.empty());
                synchronized (member) {
                    member.onHeartbeatReply(ZoneMessages.reply(from, envelope.getHeartbeatReply(), ageMs), nowNs);
                }
            }
            case VIEW_RELAY -> onViewRelay(link, envelope.getViewRelay(), nowNs);
            default -> {
                // Other messages are handled by other components of the daemon.
            }
        }
    }

    private void onViewRelay(Object link, ViewRelay relay, long nowNs) {
        if (!relay.getKey().equals(config.rowKey())) {
            return;
        }
        if (relay.getReadAgeMs() > 0) {
            readAgesMs.put(link, OptionalLong.of(relay.getReadAgeMs()));
        }
        ZoneMessages.row(relay).ifPresent(row -> decide(() -> member.viewRelayed(row, nowNs)));
    }

    void onDisconnected(Object link) {
        readAgesMs.remove(link);
    }

    void onConnectionRefused(String address, long attemptNs) {
        decide(() -> member.connectionRefused(address, attemptNs, clockNs.getAsLong()));
    }

    void onConnected(MemberId peer, long attemptNs) {
        decide(() -> member.incarnationSeen(peer.address(), peer.incarnation(), attemptNs, clockNs.getAsLong()));
    }

    /**
     * Updates the known hosts from the platform's host list.
     *
     * @param hosts the hosts of all roles
     * @param role the role of this process
     */
    public void onHostList(List<Host> hosts, Host.Role role) {
        Set<String> names = new HashSet<>();
        for (Host host : hosts) {
            if (host.role() == role) {
                names.add(host.name());
            }
        }
        synchronized (member) {
            member.updateHostList(names, clockNs.getAsLong());
        }
    }

    /**
     * Declares on behalf of an operator that a host runs no process any more.
     *
     * @param host the host's name
     */
    public void declareGone(String host) {
        decide(() -> member.declareGone(host, clockNs.getAsLong()));
    }

    /**
     * Starts the hand-over of all slices.
     *
     * @return a future that completes when no slice is owned and no release is pending
     */
    public CompletableFuture<Void> leave() {
        synchronized (member) {
            member.leave();
        }
        return drained.copy();
    }

    /**
     * Returns the right to use a slice at a time. Callers check it again directly before each use.
     *
     * @param slice the slice's number
     * @param nowNs the time as of {@link System#nanoTime}
     * @return the right
     */
    public SliceRight right(int slice, long nowNs) {
        synchronized (member) {
            return member.right(slice, nowNs);
        }
    }

    /**
     * Returns the capacity of a slice that is reserved for work of former owners.
     *
     * @param slice the slice's number
     * @return the reservation
     */
    public Reservation reservation(int slice) {
        synchronized (member) {
            return member.reservation(slice);
        }
    }

    /**
     * Returns whether this process is a member whose view is confirmed to be the latest.
     *
     * @return true if the membership is confirmed
     */
    public boolean isConfirmed() {
        synchronized (member) {
            return member.isConfirmed(clockNs.getAsLong());
        }
    }

    MemberId self() {
        return config.self();
    }

    /**
     * Returns the zone's view.
     *
     * @return the view, empty until one has been read or received
     */
    public Optional<ZoneView> view() {
        synchronized (member) {
            return member.view();
        }
    }

    /**
     * Returns the peers to stay connected to: the other members, and former owners with slices still to release.
     *
     * @return the addresses of their peer listeners
     */
    public List<InetSocketAddress> peers() {
        List<InetSocketAddress> addresses = new ArrayList<>();
        Set<MemberId> processes = view().map(ZoneView::processes).orElse(Set.of());
        for (MemberId process : processes) {
            if (!process.address().equals(config.self().address())) {
                parse(process.address()).ifPresent(addresses::add);
            }
        }
        return addresses;
    }

    /**
     * Returns the owner of a slice.
     *
     * @param slice the slice's number
     * @return the address of the owner's peer listener, empty while the owner is unknown
     */
    public Optional<InetSocketAddress> owner(int slice) {
        return view().flatMap(known -> parse(known.slices().get(slice).owner().address()));
    }

    private static Optional<InetSocketAddress> parse(String address) {
        try {
            return Optional.of(Addresses.parse(address));
        } catch (AddressException e) {
            return Optional.empty();
        }
    }
}
