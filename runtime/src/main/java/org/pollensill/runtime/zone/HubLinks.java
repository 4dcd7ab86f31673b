package org.pollensill.runtime.zone;

import java.net.InetSocketAddress;
import java.util.Objects;

import org.pollensill.runtime.net.AddressException;
import org.pollensill.runtime.net.Addresses;
import org.pollensill.runtime.peer.PeerHub;
import org.pollensill.runtime.peer.PeerIdentity;
import org.pollensill.runtime.peer.PeerLink;
import org.pollensill.runtime.peer.PeerListener;
import org.pollensill.runtime.peer.wire.Envelope;
import org.pollensill.zone.MemberId;

/** Sends and receives the messages of an agent over the daemon's peer connections, within one role and zone. */
final class HubLinks implements ZoneLinks {

    private final PeerHub hub;
    private final PeerIdentity self;

    HubLinks(PeerHub hub, PeerIdentity self) {
        this.hub = Objects.requireNonNull(hub, "hub is null");
        this.self = Objects.requireNonNull(self, "self is null");
    }

    @Override
    public void send(String address, Envelope envelope) {
        try {
            hub.send(Addresses.parse(address), envelope);
        } catch (AddressException e) {
            // A member with an invalid address is treated like one that does not answer.
            return;
        }
    }

    PeerListener listener(ZoneAgent agent) {
        return new PeerListener() {
            @Override
            public void received(PeerLink link, Envelope envelope) {
                if (hasSameRoleAndZone(link)) {
                    agent.onMessage(link, memberId(link), envelope, link::send);
                }
            }

            @Override
            public void connected(PeerLink link) {
                if (link.isOutgoing()) {
                    agent.onConnected(memberId(link), link.attemptNs());
                }
            }

            @Override
            public void disconnected(PeerLink link) {
                agent.onDisconnected(link);
            }

            @Override
            public void connectionRefused(InetSocketAddress address, long attemptNs) {
                agent.onConnectionRefused(Addresses.format(address), attemptNs);
            }
        };
    }

    private boolean hasSameRoleAndZone(PeerLink link) {
        return link.peer().role().equals(self.role()) && link.peer().zone().equals(self.zone());
    }

    private static MemberId memberId(PeerLink link) {
        return new MemberId(
                link.peer().host(), link.peer().address(), link.peer().incarnation());
    }
}
