package org.pollensill.configuration;

import java.util.Objects;

/**
 * Something that an operator should know of a configuration before it is sent.
 *
 * @param kind the kind
 * @param subject what it concerns, such as {@code queue match}
 * @param text what was found
 */
public record Finding(Kind kind, String subject, String text) {

    /** The kinds of findings, gravest first. */
    public enum Kind {
        /** The entry is invalid and would not be used, or not as it is meant. */
        ERROR,
        /** The entry can never match a request. */
        NEVER_MATCHES,
        /** Two limits contradict each other. */
        CONTRADICTION,
        /** The entry differs from the version in force. */
        DIFFERENCE
    }

    /**
     * Creates a finding.
     *
     * @throws NullPointerException if an argument is null
     */
    public Finding {
        Objects.requireNonNull(kind, "kind is null");
        Objects.requireNonNull(subject, "subject is null");
        Objects.requireNonNull(text, "text is null");
    }

    @Override
    public String toString() {
        return kind + " " + subject + ": " + text;
    }
}
