package org.pollensill.dispatch;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimates how much tasks that fill raise the tail latency of tasks that serve, per pair of images. The logarithm of
 * the tail, as a part of its bound, is modelled as a base of the serving image plus, for each filling image, a
 * coefficient of at least 0 times the image's share of the runner's processors. Measurements fade, since loads change.
 */
final class Disturbance {

    /** Weight that a measurement keeps after another one of its image; some 3,300 measurements count. */
    private static final double FADING = 0.9997;

    /** Pulls coefficients towards 0 until measurements outweigh it. */
    private static final double RIDGE = 0.03;

    /** Weight of the assumed base, in measurements. */
    private static final double BASE_WEIGHT = 5;

    /** Base that is assumed before anything was measured: a tail at 40% of its bound. */
    private static final double ASSUMED_BASE = Math.log(0.4);

    /**
     * Largest raise of a tail's logarithm that placements may add up to. At the peak of a serving task's own load, a tail
     * rises several times as much as on average, which is what the coefficients show.
     */
    static final double MOST_RAISE = 0.15;

    /** Most images of each side that are told apart. */
    private static final int MOST_IMAGES = 48;

    private static final int SWEEPS = 4;

    /** Measurements between two solutions. */
    private static final int SOLVE_EVERY = 40;

    private final Map<String, Integer> fillingIndex = new LinkedHashMap<>();
    private final Map<String, Model> models = new LinkedHashMap<>();

    private static final class Model {
        private final double[][] products = new double[MOST_IMAGES + 1][MOST_IMAGES + 1];
        private final double[] targets = new double[MOST_IMAGES + 1];
        private final double[] coefficients = new double[MOST_IMAGES + 1];
        private int unsolved;

        private Model() {
            products[0][0] = BASE_WEIGHT;
            targets[0] = BASE_WEIGHT * ASSUMED_BASE;
            coefficients[0] = ASSUMED_BASE;
        }

        private void add(double[] features, int size, double target) {
            for (int i = 0; i < size; i++) {
                for (int j = 0; j < size; j++) {
                    products[i][j] = products[i][j] * FADING + features[i] * features[j];
                }
                targets[i] = targets[i] * FADING + features[i] * target;
            }
            unsolved++;
            if (unsolved >= SOLVE_EVERY) {
                unsolved = 0;
                solve(size);
            }
        }

        /** Coordinate descent for least squares; all coefficients but the base stay at 0 or above. */
        private void solve(int size) {
            for (int sweep = 0; sweep < SWEEPS; sweep++) {
                for (int i = 0; i < size; i++) {
                    double rest = targets[i];
                    for (int j = 0; j < size; j++) {
                        rest -= i == j ? 0 : products[i][j] * coefficients[j];
                    }
                    double weight = products[i][i] + (i == 0 ? 0 : RIDGE);
                    double value = weight == 0 ? 0 : rest / weight;
                    coefficients[i] = i == 0 ? value : Math.max(0, value);
                }
            }
        }
    }

    /**
     * Takes in a measurement.
     *
     * @param serving image of the task that serves
     * @param shares share of the runner's processors by filling image, over the time that the tail covers
     * @param part the tail as a part of its bound
     */
    void observe(String serving, Map<String, Double> shares, double part) {
        if (!(part > 0)) {
            return;
        }
        double[] features = new double[MOST_IMAGES + 1];
        features[0] = 1;
        for (Map.Entry<String, Double> share : shares.entrySet()) {
            int index = indexOf(share.getKey());
            if (index > 0) {
                features[index] = share.getValue();
            }
        }
        Model model = model(serving);
        if (model != null) {
            model.add(features, fillingIndex.size() + 1, Math.log(part));
        }
    }

    private int indexOf(String image) {
        Integer known = fillingIndex.get(image);
        if (known != null) {
            return known;
        }
        if (fillingIndex.size() >= MOST_IMAGES) {
            return 0;
        }
        fillingIndex.put(image, fillingIndex.size() + 1);
        return fillingIndex.size();
    }

    private Model model(String serving) {
        Model model = models.get(serving);
        if (model == null && models.size() < MOST_IMAGES) {
            model = new Model();
            models.put(serving, model);
        }
        return model;
    }

    /**
     * Returns how much an image is expected to raise the logarithm of a tail.
     *
     * @param serving image of the task that serves
     * @param filling image of the task that fills
     * @param share its share of the runner's processors
     * @return the raise, at least 0
     */
    double raise(String serving, String filling, double share) {
        Model model = models.get(serving);
        Integer index = fillingIndex.get(filling);
        return model == null || index == null ? 0 : model.coefficients[index] * share;
    }

    /**
     * Returns how alike two serving images are, judged by what disturbs them.
     *
     * @param first an image
     * @param second another image
     * @return 1 for the same sensitivity, 0 for none in common or nothing known
     */
    double likeness(String first, String second) {
        if (first.equals(second)) {
            return 1;
        }
        Model one = models.get(first);
        Model two = models.get(second);
        if (one == null || two == null) {
            return 0;
        }
        double product = 0;
        double oneSquared = 0;
        double twoSquared = 0;
        for (int i = 1; i <= fillingIndex.size(); i++) {
            product += one.coefficients[i] * two.coefficients[i];
            oneSquared += one.coefficients[i] * one.coefficients[i];
            twoSquared += two.coefficients[i] * two.coefficients[i];
        }
        return oneSquared == 0 || twoSquared == 0 ? 0 : product / Math.sqrt(oneSquared * twoSquared);
    }
}
