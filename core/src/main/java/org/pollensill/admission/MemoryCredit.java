package org.pollensill.admission;

import java.io.IOException;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonGenerator;
import org.pollensill.json.JsonObject;

/**
 * The memory for further jobs that a leader gives to each coordinator. It is stored in the leader row with each commit,
 * and counts until the next one.
 *
 * @param shareBytes the part of each coordinator
 * @param asOfVersion version of the store up to which the leader knows the accepted jobs; those that were stored later
 *     are not subtracted yet
 */
public record MemoryCredit(long shareBytes, long asOfVersion) {

    /** That of a leader of a former version, which gives none and subtracts nothing: it bounds single jobs only. */
    public static final MemoryCredit OF_FORMER_VERSION = new MemoryCredit(1L << 20, Long.MAX_VALUE - 1);

    /**
     * Creates a credit.
     *
     * @throws IllegalArgumentException if the share is negative
     */
    public MemoryCredit {
        if (shareBytes < 0) {
            throw new IllegalArgumentException("negative share: " + shareBytes);
        }
    }

    /**
     * Writes the members of the stored form.
     *
     * @param json the generator, inside an object
     * @throws IOException if the generator fails
     */
    public void write(JsonGenerator json) throws IOException {
        json.writeNumberField("shareBytes", shareBytes);
        json.writeNumberField("asOfVersion", asOfVersion);
    }

    /**
     * Reads the stored form.
     *
     * @param stored the stored form
     * @return the credit, empty if it cannot be read
     */
    public static Optional<MemoryCredit> read(JsonObject stored) {
        return stored.integer("shareBytes")
                .filter(bytes -> bytes >= 0)
                .flatMap(bytes -> stored.integer("asOfVersion").map(version -> new MemoryCredit(bytes, version)));
    }
}
