package org.pollensill.contract;

/** Contract of the kinds that a service's settings do not name: least urgent, without a guaranteed share. */
final class DefaultKindContract {

    /** Name for all of these kinds. They share one queue, as callers choose the names and could create any number. */
    private static final String NAME = "*";

    private static final int QUEUE_LIMIT = 64;

    private DefaultKindContract() {}

    static KindContract of(ServiceContract contract) {
        return of(contract, NAME);
    }

    static KindContract of(ServiceContract contract, String name) {
        int urgency = contract.kinds().values().stream()
                .mapToInt(KindContract::urgency)
                .max()
                .orElse(0);
        // The deadline is the only known time bound of such work. The cap per upstream is 1, as a takeover reserves it.
        long boundMs = contract.deadlineMs();
        return new KindContract(name, urgency + 1, 0, 1, QUEUE_LIMIT, boundMs, 1, false, boundMs, 0.5, boundMs, 1);
    }
}
