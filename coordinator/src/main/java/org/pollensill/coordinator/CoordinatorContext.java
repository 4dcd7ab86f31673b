package org.pollensill.coordinator;

import java.util.Objects;
import java.util.Optional;

import org.pollensill.platform.RowStore;
import org.pollensill.runner.AdviceService;
import org.pollensill.runner.RunnerService;

/**
 * The dependencies that the components of a coordinator share.
 *
 * @param loop the event loop that all components run on
 * @param store the platform's store
 * @param health tracks the availability of the store
 * @param runners sends orders to runners
 * @param advice decides which runners may run a step, empty where the platform has no such service
 * @param settings the settings
 * @param metrics the metrics of this coordinator
 */
record CoordinatorContext(
        CoordinatorLoop loop,
        RowStore store,
        StoreHealth health,
        RunnerService runners,
        Optional<AdviceService> advice,
        CoordinatorSettings settings,
        CoordinatorMetrics metrics) {

    /**
     * Creates the context.
     *
     * @throws NullPointerException if an argument is null
     */
    CoordinatorContext {
        Objects.requireNonNull(loop, "loop is null");
        Objects.requireNonNull(store, "store is null");
        Objects.requireNonNull(health, "health is null");
        Objects.requireNonNull(runners, "runners is null");
        Objects.requireNonNull(advice, "advice is null");
        Objects.requireNonNull(settings, "settings is null");
        Objects.requireNonNull(metrics, "metrics is null");
    }
}
