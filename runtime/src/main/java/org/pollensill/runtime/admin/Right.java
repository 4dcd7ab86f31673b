package org.pollensill.runtime.admin;

/** Right that an admin endpoint requires. */
public enum Right {
    /** No right: liveness, readiness and metrics. */
    NONE,
    /** The right to read. */
    READ,
    /** The right to change. */
    CHANGE
}
