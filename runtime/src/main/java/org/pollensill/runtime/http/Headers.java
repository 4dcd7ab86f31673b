package org.pollensill.runtime.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Immutable list of HTTP headers. Names are case-insensitive.
 *
 * @param entries the headers in wire order
 */
public record Headers(List<Entry> entries) {

    private static final Headers EMPTY = new Headers(List.of());

    /**
     * A header.
     *
     * @param name the name
     * @param value the value
     */
    public record Entry(String name, String value) {

        /**
         * Creates a header.
         *
         * @throws NullPointerException if an argument is null
         */
        public Entry {
            Objects.requireNonNull(name, "name is null");
            Objects.requireNonNull(value, "value is null");
        }
    }

    /**
     * Creates headers.
     *
     * @throws NullPointerException if {@code entries} is null
     */
    public Headers {
        entries = List.copyOf(Objects.requireNonNull(entries, "entries is null"));
    }

    /**
     * Returns an empty list of headers.
     *
     * @return the empty list
     */
    public static Headers empty() {
        return EMPTY;
    }

    /**
     * Returns a list with a single header.
     *
     * @param name the name
     * @param value the value
     * @return the list
     */
    public static Headers of(String name, String value) {
        return new Headers(List.of(new Entry(name, value)));
    }

    /**
     * Returns the first value of a header.
     *
     * @param name the name
     * @return the value, empty if the header is absent
     */
    public Optional<String> get(String name) {
        Objects.requireNonNull(name, "name is null");
        for (Entry entry : entries) {
            if (entry.name().equalsIgnoreCase(name)) {
                return Optional.of(entry.value());
            }
        }
        return Optional.empty();
    }

    /**
     * Returns a copy of these headers with a header set to a single value.
     *
     * @param name the name
     * @param value the value
     * @return the new list
     */
    public Headers with(String name, String value) {
        List<Entry> updated = new ArrayList<>(without(name).entries);
        updated.add(new Entry(name, value));
        return new Headers(updated);
    }

    /**
     * Returns a copy of these headers without all values of a header.
     *
     * @param name the name
     * @return the new list
     */
    public Headers without(String name) {
        Objects.requireNonNull(name, "name is null");
        List<Entry> remaining = new ArrayList<>(entries.size());
        for (Entry entry : entries) {
            if (!entry.name().equalsIgnoreCase(name)) {
                remaining.add(entry);
            }
        }
        return new Headers(remaining);
    }
}
