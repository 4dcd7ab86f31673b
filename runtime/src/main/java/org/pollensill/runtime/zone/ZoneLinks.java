package org.pollensill.runtime.zone;

import org.pollensill.runtime.peer.wire.Envelope;

/** Outgoing peer connections of the zone membership protocol. */
interface ZoneLinks {

    /**
     * Sends a message to a peer listener. The message is dropped if there is no connection.
     *
     * @param address address of the peer listener
     * @param envelope the message
     */
    void send(String address, Envelope envelope);
}
