package org.pollensill.cli;

/** Exit codes of the command-line tool. */
public final class ExitCode {

    /** The command succeeded. */
    public static final int OK = 0;

    /** The request was refused, for example because of invalid settings, an unknown ID or a missing right. */
    public static final int REFUSED = 1;

    /** Incorrect usage; one line on the error stream describes the mistake. */
    public static final int USAGE = 2;

    /** The request conflicts with existing state, such as a later change of the same settings path. */
    public static final int CONFLICT = 3;

    /** No daemon responded, or the store is unavailable; the request had no effect. */
    public static final int UNAVAILABLE = 4;

    /** The outcome is unknown; repeat the request with the same ID or key. */
    public static final int UNKNOWN = 5;

    /** A wait timed out before its condition was met. */
    public static final int TIMEOUT = 6;

    private ExitCode() {}
}
