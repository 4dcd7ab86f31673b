package org.pollensill.platform;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** The platform's transactional table service. Failed calls complete with a {@link PlatformException}. */
public interface TableService {

    /**
     * Reads rows by key and by prefix in one call.
     *
     * @param keys the keys; absent rows are omitted from the result
     * @param prefixes the range reads
     * @return the rows
     */
    CompletableFuture<List<Row>> read(List<String> keys, List<Prefix> prefixes);

    /**
     * Writes rows atomically if all conditions of the commit hold.
     *
     * @param commit the commit
     * @return the outcome of the commit
     */
    CompletableFuture<CommitOutcome> commit(Commit commit);
}
