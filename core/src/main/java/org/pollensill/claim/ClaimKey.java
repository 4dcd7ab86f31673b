package org.pollensill.claim;

import java.util.Objects;

/**
 * Identity of a claim: a caller's idempotency key for one service. Equal keys of two callers are different claims.
 *
 * @param service the service
 * @param caller the caller
 * @param key the idempotency key
 */
public record ClaimKey(String service, String caller, String key) {

    /** Prefix of the row keys of all claims. */
    public static final String PREFIX = "claim/";

    /** Maximum length of a part, which bounds the length of a row key. */
    private static final int MAX_PART_CHARS = 200;

    /**
     * Creates a key.
     *
     * @throws NullPointerException if an argument is null
     * @throws IllegalArgumentException if a part is empty or longer than 200 characters
     */
    public ClaimKey {
        requirePart(service, "service");
        requirePart(caller, "caller");
        requirePart(key, "key");
    }

    /**
     * Returns the row key. Slashes inside the parts are escaped, since otherwise a caller could choose an idempotency
     * key whose row key equals that of another caller.
     *
     * @return the row key
     */
    public String rowKey() {
        return PREFIX + escape(service) + '/' + escape(caller) + '/' + escape(key);
    }

    private static void requirePart(String part, String name) {
        Objects.requireNonNull(part, name + " is null");
        if (part.isEmpty() || part.length() > MAX_PART_CHARS) {
            throw new IllegalArgumentException(name + " is empty or too long: " + part.length() + " characters");
        }
    }

    private static String escape(String part) {
        StringBuilder escaped = new StringBuilder(part.length());
        for (int i = 0; i < part.length(); i++) {
            char c = part.charAt(i);
            if (c == '/' || c == '%' || c < ' ') {
                escaped.append('%').append(String.format("%02x", (int) c));
            } else {
                escaped.append(c);
            }
        }
        return escaped.toString();
    }
}
