package org.pollensill.runtime.peer;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import org.pollensill.error.Failures;
import org.pollensill.runtime.http.ListenException;
import org.pollensill.runtime.net.AddressException;
import org.pollensill.runtime.net.Addresses;
import org.pollensill.runtime.peer.wire.Envelope;

/**
 * Maintains one outgoing connection to each configured peer address and dispatches messages and connection events to
 * the listeners. Both peers of a pair open a connection of their own; a reply is sent on the connection of its request.
 */
public final class PeerHub implements PeerHandler {

    /** Interval between attempts to connect; also the resolution at which the end of a peer process is detected. */
    private static final long CONNECT_INTERVAL_MS = 250;

    private final EventLoopGroup loops;
    private final PeerIdentity self;
    private final PeerTransport transport;
    private final List<PeerListener> listeners = new CopyOnWriteArrayList<>();
    private final Set<InetSocketAddress> peerAddresses = ConcurrentHashMap.newKeySet();
    private final Set<InetSocketAddress> pendingConnects = ConcurrentHashMap.newKeySet();
    private final Map<InetSocketAddress, PeerLink> outgoing = new ConcurrentHashMap<>();
    private volatile boolean closed;

    /**
     * Creates a hub.
     *
     * @param loops the event loops
     * @param self the identity of this process
     * @param token the fleet's shared secret
     */
    public PeerHub(EventLoopGroup loops, PeerIdentity self, FleetToken token) {
        this.loops = Objects.requireNonNull(loops, "loops is null");
        this.self = Objects.requireNonNull(self, "self is null");
        this.transport = new PeerTransport(loops, self, token, this);
    }

    /**
     * Adds a listener for messages and connection events.
     *
     * @param listener the listener
     */
    public void add(PeerListener listener) {
        listeners.add(Objects.requireNonNull(listener, "listener is null"));
    }

    /**
     * Opens the peer listener and starts to connect to the peers.
     *
     * @param address the peer listener's address
     * @throws ListenException if the address cannot be bound
     */
    public void start(InetSocketAddress address) throws ListenException {
        transport.listen(address);
        loops.next().scheduleAtFixedRate(this::connectMissing, 0, CONNECT_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Sets the peers to which connections are maintained.
     *
     * @param addresses the addresses of the peers' listeners; this process's own is ignored
     */
    public void setDesiredPeers(Collection<InetSocketAddress> addresses) {
        Set<InetSocketAddress> others = new HashSet<>(addresses);
        address(self).ifPresent(others::remove);
        peerAddresses.addAll(others);
        peerAddresses.retainAll(others);
    }

    /**
     * Returns the outgoing connection to a peer.
     *
     * @param address the address of the peer's listener
     * @return the connection, empty if none is open
     */
    public Optional<PeerLink> link(InetSocketAddress address) {
        return Optional.ofNullable(outgoing.get(address)).filter(PeerLink::isOpen);
    }

    /**
     * Returns all outgoing connections.
     *
     * @return the open connections
     */
    public List<PeerLink> links() {
        return outgoing.values().stream().filter(PeerLink::isOpen).toList();
    }

    /**
     * Sends a message to a peer if an outgoing connection is open.
     *
     * @param address the address of the peer's listener
     * @param envelope the message
     * @return true if the message was passed to a connection
     */
    public boolean send(InetSocketAddress address, Envelope envelope) {
        Optional<PeerLink> link = link(address);
        link.ifPresent(open -> open.send(envelope));
        return link.isPresent();
    }

    /** Closes the listener and all connections. Peers detect the end of this process by their refused connections. */
    public void close() {
        closed = true;
        transport.close();
    }

    private void connectMissing() {
        if (closed) {
            return;
        }
        for (InetSocketAddress address : peerAddresses) {
            if (link(address).isEmpty() && pendingConnects.add(address)) {
                connect(address);
            }
        }
    }

    private void connect(InetSocketAddress address) {
        long attemptNs = System.nanoTime();
        transport.connect(address).whenComplete((link, failure) -> {
            pendingConnects.remove(address);
            if (failure != null
                    && Failures.unwrap(failure) instanceof PeerException peerFailure
                    && peerFailure.reason() == PeerException.Reason.REFUSED) {
                listeners.forEach(listener -> listener.connectionRefused(address, attemptNs));
            }
        });
    }

    @Override
    public void connected(PeerLink link) {
        if (link.isOutgoing()) {
            address(link.peer()).ifPresent(address -> outgoing.put(address, link));
        }
        listeners.forEach(listener -> listener.connected(link));
    }

    @Override
    public void received(PeerLink link, Envelope envelope) {
        listeners.forEach(listener -> listener.received(link, envelope));
    }

    @Override
    public void disconnected(PeerLink link) {
        if (link.isOutgoing()) {
            address(link.peer()).ifPresent(address -> outgoing.remove(address, link));
        }
        listeners.forEach(listener -> listener.disconnected(link));
    }

    private static Optional<InetSocketAddress> address(PeerIdentity peer) {
        try {
            return Optional.of(Addresses.parse(peer.address()));
        } catch (AddressException e) {
            return Optional.empty();
        }
    }
}
