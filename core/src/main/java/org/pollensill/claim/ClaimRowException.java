package org.pollensill.claim;

import org.pollensill.error.PollensillException;

/** Thrown when the value of a claim's row cannot be decoded. */
public final class ClaimRowException extends PollensillException {

    private static final long serialVersionUID = 1L;

    private final int lengthChars;

    /**
     * Creates an exception.
     *
     * @param lengthChars length of the row's text
     * @param cause the decoding error
     */
    public ClaimRowException(int lengthChars, Throwable cause) {
        super("claim row of " + lengthChars + " characters cannot be decoded: " + cause.getMessage(), cause);
        this.lengthChars = lengthChars;
    }

    /**
     * Returns the length of the row's text.
     *
     * @return the length
     */
    public int lengthChars() {
        return lengthChars;
    }
}
