package org.pollensill.runtime.http;

import org.pollensill.error.PollensillException;

/** Thrown when a listener cannot be bound to its address. */
public final class ListenException extends PollensillException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param address the address
     */
    public ListenException(String address) {
        super("cannot listen on " + address);
    }
}
