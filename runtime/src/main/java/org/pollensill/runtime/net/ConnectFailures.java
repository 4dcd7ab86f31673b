package org.pollensill.runtime.net;

import java.net.ConnectException;

/** Classifies failed connection attempts. */
public final class ConnectFailures {

    private ConnectFailures() {}

    /**
     * Returns whether the host refused the connection, which proves that no process listens at the address. Netty
     * reports refusals and unreachable hosts by the same exception type, so they are distinguished by the message.
     *
     * @param failure the exception of the attempt
     * @return true if the connection was refused
     */
    public static boolean isRefused(Throwable failure) {
        return failure instanceof ConnectException
                && String.valueOf(failure.getMessage()).contains("refused");
    }
}
