package org.pollensill.runtime.http;

/** Decides immediately before the write whether a request may still be sent. Runs on the connection's event loop. */
@FunctionalInterface
public interface SendGuard {

    /** Allows every request. */
    SendGuard ALLOW = () -> true;

    /**
     * Returns whether the request may still be sent.
     *
     * @return true if the request may be written now
     */
    boolean maySend();
}
