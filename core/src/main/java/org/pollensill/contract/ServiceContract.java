package org.pollensill.contract;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Settings of one service at one location.
 *
 * @param service the service's name
 * @param deadlineMs default deadline for kinds that the settings do not name
 * @param retryBudgetPercent retries and hedges allowed per hundred successes
 * @param hedgeFreeSlotsPercent percentage of free slots that a hedge requires
 * @param maxBodyBytes maximum size of a request body
 * @param kinds contracts by name of the kind
 */
public record ServiceContract(
        String service,
        long deadlineMs,
        int retryBudgetPercent,
        int hedgeFreeSlotsPercent,
        int maxBodyBytes,
        Map<String, KindContract> kinds) {

    /**
     * Creates a contract.
     *
     * @throws NullPointerException if an argument is null
     * @throws IllegalArgumentException if the guaranteed shares add up to more than 1
     */
    public ServiceContract {
        Objects.requireNonNull(service, "service is null");
        kinds = Map.copyOf(Objects.requireNonNull(kinds, "kinds is null"));
        double guaranteed = kinds.values().stream()
                .mapToDouble(KindContract::guaranteedShare)
                .sum();
        if (guaranteed > 1.000001) {
            throw new IllegalArgumentException("guaranteed shares of " + service + " add up to " + guaranteed);
        }
    }

    /**
     * Returns the contract of a kind.
     *
     * @param kind the kind's name
     * @return the contract, empty if the settings do not name the kind
     */
    public Optional<KindContract> kind(String kind) {
        return Optional.ofNullable(kinds.get(kind));
    }
}
