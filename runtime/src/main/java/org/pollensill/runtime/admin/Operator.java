package org.pollensill.runtime.admin;

import java.util.Objects;
import java.util.Set;

/**
 * An operator, authenticated by a bearer token.
 *
 * @param name the name that is recorded as author of changes
 * @param rights the rights of the operator
 */
public record Operator(String name, Set<Right> rights) {

    /** Operator of requests that need no token. */
    public static final Operator ANONYMOUS = new Operator("anonymous", Set.of());

    /**
     * Creates an operator.
     *
     * @throws NullPointerException if an argument is null
     */
    public Operator {
        Objects.requireNonNull(name, "name is null");
        rights = Set.copyOf(Objects.requireNonNull(rights, "rights is null"));
    }
}
