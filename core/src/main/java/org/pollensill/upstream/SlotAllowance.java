package org.pollensill.upstream;

/**
 * Part of an upstream's limits that this owner may use. It may change at any time and applies to new requests only;
 * requests in progress keep their slots.
 */
public enum SlotAllowance {

    /** For the only owner: all slots that are not used or reserved. */
    FULL {
        @Override
        int free(int limit, int used, int reserved) {
            return limit - used - reserved;
        }
    },

    /**
     * For an owner that may have been replaced, or for the successor of an owner that may still use the other half. The
     * reservations for former owners count against this half in full: charging a successor's reservation to the former
     * owner's half first let 9 requests run on 8 slots when that owner itself had a predecessor with requests in
     * progress.
     */
    HALF {
        @Override
        int free(int limit, int used, int reserved) {
            return limit / 2 - used - reserved;
        }
    },

    /** No new requests. */
    NONE {
        @Override
        int free(int limit, int used, int reserved) {
            return 0;
        }
    };

    /**
     * Returns how many more requests may start within a limit.
     *
     * @param limit the limit
     * @param used slots that this owner's requests hold
     * @param reserved slots reserved for former owners
     * @return the number of requests, negative if more slots are taken than the allowance permits
     */
    abstract int free(int limit, int used, int reserved);
}
