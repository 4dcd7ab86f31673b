package org.pollensill.zone;

import java.util.Objects;

import org.pollensill.error.PollensillException;

/** Thrown if a row of the table service does not hold a valid view. */
public final class ViewRowException extends PollensillException {

    private static final long serialVersionUID = 1L;

    private final String row;

    /**
     * Creates an exception.
     *
     * @param row the row's text
     * @param cause the cause
     */
    public ViewRowException(String row, Throwable cause) {
        super("unreadable view row: " + row, cause);
        this.row = Objects.requireNonNull(row, "row is null");
    }

    /**
     * Returns the row's text.
     *
     * @return the text
     */
    public String row() {
        return row;
    }
}
