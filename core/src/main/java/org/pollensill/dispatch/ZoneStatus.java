package org.pollensill.dispatch;

import java.util.Objects;

/**
 * An availability zone that is being emptied, with what still runs there.
 *
 * @param zone the zone
 * @param evacuatedForMs time since the leader knows of the request, in milliseconds
 * @param longRunningTasks number of long-running tasks on its runners
 * @param otherTasks number of other tasks on its runners
 */
public record ZoneStatus(String zone, long evacuatedForMs, int longRunningTasks, int otherTasks) {

    /**
     * Creates a status.
     *
     * @throws NullPointerException if {@code zone} is null
     */
    public ZoneStatus {
        Objects.requireNonNull(zone, "zone is null");
    }
}
