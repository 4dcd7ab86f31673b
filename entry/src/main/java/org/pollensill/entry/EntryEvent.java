package org.pollensill.entry;

import org.pollensill.runtime.event.Event;
import org.pollensill.runtime.event.EventInfo;
import org.slf4j.event.Level;

/** Events of the entry daemon, 2100 to 2999. */
enum EntryEvent implements Event {
    /** The host list cannot be read. */
    HOST_LIST_UNAVAILABLE(2101, Level.WARN, "host list unavailable"),
    /** The host list can be read again. */
    HOST_LIST_AVAILABLE(2102, Level.INFO, "host list available"),
    /** A new upstream of this zone was found in the host list. */
    UPSTREAM_ADDED(2103, Level.INFO, "upstream added"),
    /** An upstream is leaving. */
    UPSTREAM_LEAVING(2104, Level.INFO, "upstream leaving"),
    /** An upstream's answer carries another request ID or none; the answer is discarded. */
    ANSWER_MISMATCHED(2105, Level.WARN, "answer of an upstream does not belong to its request"),
    /** The daemon is shutting down: it refuses new requests and finishes those in progress. */
    DRAINING(2106, Level.INFO, "draining"),
    /** All slices have been handed over to other entry hosts. */
    HANDED_OVER(2107, Level.INFO, "slices handed over"),
    /** The slices could not be handed over in time; peers take them over after this process has exited. */
    HANDOVER_TIMED_OUT(2108, Level.WARN, "slices not handed over in time"),
    /** The last burn counters could not be written; up to 30 s of counts are lost. */
    COUNTERS_NOT_WRITTEN(2109, Level.WARN, "last burn counters not written");

    private final EventInfo info;

    EntryEvent(int number, Level level, String text) {
        info = new EventInfo(number, level, text);
    }

    @Override
    public EventInfo info() {
        return info;
    }
}
