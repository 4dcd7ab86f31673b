package org.pollensill.runtime.event;

import org.slf4j.event.Level;

/** Events of the runtime, 1000 to 1999. */
public enum RuntimeEvent implements Event {
    /** A daemon has started. */
    STARTED(1001, Level.INFO, "process started"),
    /** A daemon starts its graceful shutdown. */
    STOPPING(1002, Level.INFO, "graceful shutdown begins"),
    /** A daemon has stopped. */
    STOPPED(1003, Level.INFO, "process stopped"),
    /** A daemon could not start. */
    START_FAILED(1004, Level.ERROR, "start failed"),
    /** A graceful shutdown exceeded its time limit. */
    STOP_TIMED_OUT(1005, Level.WARN, "graceful shutdown exceeded its bound"),
    /** A listener accepts connections. */
    LISTENING(1010, Level.INFO, "listening"),
    /** A request handler threw an exception. */
    HANDLER_FAILED(1011, Level.ERROR, "handler failed"),
    /** A malformed HTTP request was rejected. */
    BAD_REQUEST(1012, Level.INFO, "malformed request refused"),
    /** A peer connection is established. */
    PEER_CONNECTED(1020, Level.INFO, "peer connected"),
    /** A peer connection has closed. */
    PEER_DISCONNECTED(1021, Level.INFO, "peer disconnected"),
    /** A peer connection was rejected during the handshake. */
    PEER_REJECTED(1022, Level.WARN, "peer rejected"),
    /** A peer connection failed with an exception other than an I/O error, for example an undecodable frame. */
    PEER_FAILED(1023, Level.WARN, "peer connection failed");

    private final EventInfo info;

    RuntimeEvent(int number, Level level, String text) {
        info = new EventInfo(number, level, text);
    }

    @Override
    public EventInfo info() {
        return info;
    }
}
