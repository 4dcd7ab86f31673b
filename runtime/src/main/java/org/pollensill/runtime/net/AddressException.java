package org.pollensill.runtime.net;

import org.pollensill.error.PollensillException;

/** Thrown when a text is not a socket address of the form {@code IP:port}. */
public final class AddressException extends PollensillException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param text the invalid text
     */
    public AddressException(String text) {
        super("not an address of the form IP:port: \"" + text + "\"");
    }
}
