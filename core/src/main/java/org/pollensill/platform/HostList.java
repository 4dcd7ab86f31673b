package org.pollensill.platform;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's list of live and leaving hosts, which lags behind the actual state. Failed calls complete with a
 * {@link PlatformException}.
 */
public interface HostList {

    /**
     * Reads the list.
     *
     * @return all hosts
     */
    CompletableFuture<List<Host>> hosts();
}
