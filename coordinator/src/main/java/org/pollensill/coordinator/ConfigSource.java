package org.pollensill.coordinator;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** A place from which new versions of the operator's configuration can be read. */
interface ConfigSource {

    /**
     * Waits a limited time for a configuration that is newer than a known one.
     *
     * @param knownVersion the version in force, 0 for none
     * @return the text of a newer configuration, empty if the wait ended without one; fails if the source is unusable
     */
    CompletableFuture<Optional<String>> next(long knownVersion);

    /** Forgets the position in the source, since versions may have been missed. */
    void reset();
}
