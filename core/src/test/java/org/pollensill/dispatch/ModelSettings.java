package org.pollensill.dispatch;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;

/**
 * What the simulated cluster does beyond lost answers, late effects and instant restarts.
 *
 * @param listLags whether the list of runners is read at intervals and its entries lag behind the runners
 * @param listGaps whether entries vanish from the list for a while though their runners are alive
 * @param lateAnswers whether answers arrive after their timeout, and a late loop handles what has queued in any order
 * @param nextLives whether runners restart often, are down for a while and get orders meant for their former life
 * @param addressesMove whether a restarted runner may return at another address, which another runner may take over
 * @param storeSlow whether the store answers and performs commits late
 * @param paths the related paths that are taken
 */
record ModelSettings(
        boolean listLags,
        boolean listGaps,
        boolean lateAnswers,
        boolean nextLives,
        boolean addressesMove,
        boolean storeSlow,
        Set<ModelPath> paths) {

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

    ModelSettings {
        paths = Set.copyOf(paths);
    }

    private ModelSettings(
            boolean listLags,
            boolean listGaps,
            boolean lateAnswers,
            boolean nextLives,
            boolean addressesMove,
            boolean storeSlow) {
        this(listLags, listGaps, lateAnswers, nextLives, addressesMove, storeSlow, Set.of());
    }

    ModelSettings with(ModelPath... taken) {
        Set<ModelPath> all = EnumSet.noneOf(ModelPath.class);
        all.addAll(paths);
        all.addAll(List.of(taken));
        return new ModelSettings(listLags, listGaps, lateAnswers, nextLives, addressesMove, storeSlow, all);
    }

    boolean takes(ModelPath path) {
        return paths.contains(path);
    }
}
