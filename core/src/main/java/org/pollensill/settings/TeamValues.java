package org.pollensill.settings;

import java.util.Objects;

/**
 * Quotas and weight of a team.
 *
 * @param team the team's name
 * @param processorsMillicores CPU quota
 * @param memoryBytes memory quota
 * @param accelerators accelerator quota
 * @param weight weight in fair sharing
 */
public record TeamValues(String team, long processorsMillicores, long memoryBytes, long accelerators, int weight) {

    /**
     * Creates a quota.
     *
     * @throws NullPointerException if {@code team} is null
     */
    public TeamValues {
        Objects.requireNonNull(team, "team is null");
    }
}
