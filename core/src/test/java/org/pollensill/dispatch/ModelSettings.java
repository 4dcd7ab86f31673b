package org.pollensill.dispatch;

/**
 * What the simulated cluster does beyond lost answers, late effects and instant restarts.
 *
 * @param listLags whether the list of runners is read at intervals and its entries lag behind the runners
 * @param listGaps whether entries vanish from the list for a while though their runners are alive
 * @param lateAnswers whether answers arrive after their timeout, and a late loop handles what has queued in any order
 * @param nextLives whether runners restart often, are down for a while and get orders meant for their former life
 * @param addressesMove whether a restarted runner may return at another address, which another runner may take over
 * @param storeSlow whether the store answers and performs commits late
 */
record ModelSettings(
        boolean listLags,
        boolean listGaps,
        boolean lateAnswers,
        boolean nextLives,
        boolean addressesMove,
        boolean storeSlow) {

    static final ModelSettings NONE = new ModelSettings(false, false, false, false, false, false);
    static final ModelSettings LIST_LAGS = new ModelSettings(true, false, false, false, false, false);
    static final ModelSettings LIST_GAPS = new ModelSettings(false, true, false, false, false, false);
    static final ModelSettings LATE_ANSWERS = new ModelSettings(false, false, true, false, false, false);
    static final ModelSettings NEXT_LIVES = new ModelSettings(false, false, false, true, false, false);
    static final ModelSettings ADDRESSES_MOVE = new ModelSettings(false, false, false, false, true, false);
    static final ModelSettings STORE_SLOW = new ModelSettings(false, false, false, false, false, true);
    static final ModelSettings LATE_ORDERS_TO_NEXT_LIVES = new ModelSettings(false, false, true, true, false, false);
    static final ModelSettings LATE_ANSWERS_TO_FORMER_ADDRESSES =
            new ModelSettings(true, true, true, false, true, false);
    static final ModelSettings ALL = new ModelSettings(true, true, true, true, true, true);
}
