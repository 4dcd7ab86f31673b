package org.pollensill.upstream;

/** How an owner uses an upstream. */
public enum UpstreamState {
    /** In use. */
    LIVE,
    /** In use with a reduced number of slots, after an ejection or a restart. */
    SLOW_START,
    /** Out of use after failures or high latency; a successful probe starts the slow start. */
    EJECTED,
    /** About to stop; gets no new requests. */
    LEAVING,
    /** No longer owned; kept until its slots and connections are free. */
    REMOVED
}
