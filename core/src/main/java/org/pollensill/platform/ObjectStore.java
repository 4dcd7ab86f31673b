package org.pollensill.platform;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** The platform's object store. Failed calls complete with a {@link PlatformException}. */
public interface ObjectStore {

    /**
     * Writes an object, replacing the previous content as a whole.
     *
     * @param name the object's name
     * @param content the content
     * @return completion of the call
     */
    CompletableFuture<Void> put(String name, byte[] content);

    /**
     * Reads an object.
     *
     * @param name the object's name
     * @return the content, empty if the object does not exist
     */
    CompletableFuture<Optional<byte[]>> get(String name);

    /**
     * Deletes an object. Succeeds if the object does not exist.
     *
     * @param name the object's name
     * @return completion of the call
     */
    CompletableFuture<Void> delete(String name);
}
