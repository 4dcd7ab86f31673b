package org.pollensill.dispatch;

import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.pollensill.json.JsonObject;
import org.pollensill.json.JsonSyntaxException;
import org.pollensill.json.JsonText;

/**
 * Estimates how much tasks that fill slow down tasks that serve, per pair of images. The slack of a serving task, the
 * bound of its tail latency divided by the tail, falls linearly with what works beside it: slack = idle slack - sum of
 * coefficient x share of the runner's processors. All tasks of a job carry the same load of their own, so that the idle
 * slack is estimated per job and the coefficients from the differences between its tasks.
 */
final class Disturbance {

    /** Slack of a task whose tail is at its bound. */
    static final double BOUND = 1;

    /** Idle slack of a job that was not measured yet: a tail at 45% of its bound. */
    static final double ASSUMED_IDLE_SLACK = 2.2;

    /** Coefficient that is assumed of a pair that was not measured yet. */
    static final double ASSUMED_COEFFICIENT = 3;

    /** Standard deviation of the coefficients of different pairs. */
    private static final double COEFFICIENT_DEVIATION = 4;

    /** Variance of the slack's noise: 5% of a slack of 3, and as much for the idle slack. */
    private static final double NOISE_VARIANCE = 0.04;

    /** Weight of the assumed coefficient beside the measurements. */
    private static final double ASSUMED_WEIGHT = NOISE_VARIANCE / (COEFFICIENT_DEVIATION * COEFFICIENT_DEVIATION);

    /** Part of its standard error by which a coefficient is taken for larger where a task is to be placed. */
    private static final double CAUTION = 0.7;

    /** Pairs with less measured weight are not kept for the next leader. */
    private static final double LEAST_KEPT_WEIGHT = 0.005;

    /** Weight that a measurement keeps after another one of its image; some 3,300 measurements count. */
    private static final double FADING = 0.9997;

    /** Time over which the idle slack of a job is averaged; its load changes over some seconds. */
    private static final double IDLE_WINDOW_MS = 400;

    /** An estimate of the idle slack that is older than this tells nothing. */
    private static final long IDLE_VALID_MS = 3_000;

    /** Pressure at which a measurement counts half for the idle slack. */
    private static final double HALF_WEIGHT_PRESSURE = 0.5;

    /** Weight of the image's mean idle slack beside the measurements of a job. */
    private static final double MEAN_WEIGHT = 0.1;

    /** Weight of a task's own measurement beside those of its job. */
    private static final double OWN_WEIGHT = 0.5;

    /** Share of the newest measurement in the image's mean idle slack. */
    private static final double MEAN_SMOOTHING = 0.01;

    /** Most images of each side that are told apart. */
    private static final int MOST_IMAGES = 48;

    private static final int SWEEPS = 4;

    /** Measurements between two solutions. */
    private static final int SOLVE_EVERY = 20;

    private final Map<String, Integer> fillingIndex = new LinkedHashMap<>();
    private final Map<String, Model> models = new LinkedHashMap<>();
    private final Map<String, IdleSlack> idle = new HashMap<>();

    /** Coefficients of one serving image, by least squares. */
    private static final class Model {
        private final double[][] products = new double[MOST_IMAGES][MOST_IMAGES];
        private final double[] targets = new double[MOST_IMAGES];
        private final double[] coefficients = new double[MOST_IMAGES];
        private double meanIdleSlack = ASSUMED_IDLE_SLACK;
        private int unsolved;

        private Model() {
            Arrays.fill(coefficients, ASSUMED_COEFFICIENT);
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

        /** Coordinate descent for least squares; all coefficients stay at 0 or above. */
        private void solve(int size) {
            for (int sweep = 0; sweep < SWEEPS; sweep++) {
                for (int i = 0; i < size; i++) {
                    double rest = targets[i] + ASSUMED_WEIGHT * ASSUMED_COEFFICIENT;
                    for (int j = 0; j < size; j++) {
                        rest -= i == j ? 0 : products[i][j] * coefficients[j];
                    }
                    coefficients[i] = Math.max(0, rest / (products[i][i] + ASSUMED_WEIGHT));
                }
            }
        }
    }

    /** Mean of the recent idle slacks of a job's tasks, of which undisturbed ones count most. */
    private static final class IdleSlack {
        private double sum;
        private double weight;
        private long atMs;

        private void add(double slack, double pressure, long nowMs) {
            double kept = Math.exp(-(nowMs - atMs) / IDLE_WINDOW_MS);
            double part = pressure / HALF_WEIGHT_PRESSURE;
            double added = 1 / (1 + part * part);
            sum = sum * kept + added * (slack + pressure);
            weight = weight * kept + added;
            atMs = nowMs;
        }

        private double valueWith(double other, double otherWeight) {
            return (sum + otherWeight * other) / (weight + otherWeight);
        }
    }

    /**
     * Takes in a measurement.
     *
     * @param serving image of the task that serves
     * @param job the task's job
     * @param shares share of the runner's processors by filling image, over the time that the tail covers
     * @param slack bound of the tail divided by the tail
     * @param nowMs the time
     */
    void observe(String serving, String job, Map<String, Double> shares, double slack, long nowMs) {
        if (!(slack > 0) || Double.isInfinite(slack)) {
            return;
        }
        Model model = model(serving);
        if (model == null) {
            return;
        }
        double pressure = pressure(serving, shares);
        IdleSlack ofJob = idle.computeIfAbsent(job, key -> new IdleSlack());
        boolean known = nowMs - ofJob.atMs < IDLE_VALID_MS;
        double idleSlack = known ? ofJob.valueWith(model.meanIdleSlack, MEAN_WEIGHT) : model.meanIdleSlack;
        if (pressure < HALF_WEIGHT_PRESSURE) {
            model.meanIdleSlack += MEAN_SMOOTHING * (slack + pressure - model.meanIdleSlack);
        }
        ofJob.add(slack, pressure, nowMs);
        if (shares.isEmpty() || !known) {
            return;
        }
        double[] features = new double[MOST_IMAGES];
        for (Map.Entry<String, Double> share : shares.entrySet()) {
            int index = indexOf(share.getKey());
            if (index >= 0) {
                features[index] = share.getValue();
            }
        }
        model.add(features, fillingIndex.size(), idleSlack - slack);
    }

    private int indexOf(String image) {
        Integer known = fillingIndex.get(image);
        if (known != null) {
            return known;
        }
        if (fillingIndex.size() >= MOST_IMAGES) {
            return -1;
        }
        fillingIndex.put(image, fillingIndex.size());
        return fillingIndex.size() - 1;
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
     * Returns the slack that the tasks of a job would have without tasks that fill.
     *
     * @param serving image of the tasks
     * @param job the job
     * @param nowMs the time
     * @return the slack, the image's mean where the job was not measured lately
     */
    double idleSlack(String serving, String job, long nowMs) {
        Model model = models.get(serving);
        double mean = model == null ? ASSUMED_IDLE_SLACK : model.meanIdleSlack;
        IdleSlack ofJob = idle.get(job);
        return ofJob == null || nowMs - ofJob.atMs >= IDLE_VALID_MS ? mean : ofJob.valueWith(mean, MEAN_WEIGHT);
    }

    /**
     * Returns the slack that a measured task would have without tasks that fill: its own measurement, or that of its
     * job where it is lower.
     *
     * @param serving image of the task
     * @param job the job
     * @param slack the task's measured slack
     * @param shares share of the runner's processors by filling image, over the time of the measurement
     * @return the slack
     */
    double idleSlack(String serving, String job, double slack, Map<String, Double> shares) {
        double own = slack + pressure(serving, shares);
        IdleSlack ofJob = idle.get(job);
        return ofJob == null ? own : Math.min(own, ofJob.valueWith(own, OWN_WEIGHT));
    }

    /**
     * Returns by how much an image is expected to lower the slack.
     *
     * @param serving image of the task that serves
     * @param filling image of the task that fills
     * @param share its share of the runner's processors
     * @return the pressure, at least 0
     */
    double pressure(String serving, String filling, double share) {
        Model model = models.get(serving);
        Integer index = fillingIndex.get(filling);
        return share * (model == null || index == null ? ASSUMED_COEFFICIENT : model.coefficients[index]);
    }

    /**
     * Returns by how much an image may lower the slack, the more above the expectation the less is known.
     *
     * @param serving image of the task that serves
     * @param filling image of the task that fills
     * @param share its share of the runner's processors
     * @return the pressure, at least 0
     */
    double cautiousPressure(String serving, String filling, double share) {
        Model model = models.get(serving);
        Integer index = fillingIndex.get(filling);
        double weight = model == null || index == null ? 0 : model.products[index][index];
        double error = Math.sqrt(NOISE_VARIANCE / (weight + ASSUMED_WEIGHT));
        return pressure(serving, filling, share) + share * CAUTION * error;
    }

    /**
     * Returns by how much several images are expected to lower the slack.
     *
     * @param serving image of the task that serves
     * @param shares shares of the runner's processors by image
     * @return the pressure, at least 0
     */
    double pressure(String serving, Map<String, Double> shares) {
        double pressure = 0;
        for (Map.Entry<String, Double> share : shares.entrySet()) {
            pressure += pressure(serving, share.getKey(), share.getValue());
        }
        return pressure;
    }

    /**
     * Returns what was learned about the images.
     *
     * @return the stored form
     */
    String encode() {
        return JsonText.object(json -> {
            for (Map.Entry<String, Model> model : models.entrySet()) {
                json.writeObjectFieldStart(model.getKey());
                json.writeNumberField("idleSlack", rounded(model.getValue().meanIdleSlack));
                json.writeObjectFieldStart("filling");
                for (Map.Entry<String, Integer> image : fillingIndex.entrySet()) {
                    double weight = model.getValue().products[image.getValue()][image.getValue()];
                    if (weight >= LEAST_KEPT_WEIGHT) {
                        json.writeArrayFieldStart(image.getKey());
                        json.writeNumber(rounded(model.getValue().coefficients[image.getValue()]));
                        json.writeNumber(rounded(weight));
                        json.writeEndArray();
                    }
                }
                json.writeEndObject();
                json.writeEndObject();
            }
        });
    }

    private static double rounded(double value) {
        return Math.round(value * 1_000) / 1_000.0;
    }

    /**
     * Takes what a former leader has learned, unless this one has learned already.
     *
     * @param text the stored form
     * @throws JsonSyntaxException if the text cannot be read
     */
    void restore(String text) throws JsonSyntaxException {
        if (!models.isEmpty()) {
            return;
        }
        JsonObject all = JsonObject.parse(text);
        for (String serving : all.members().keySet()) {
            Optional<JsonObject> stored = all.object(serving);
            Model model = model(serving);
            if (stored.isEmpty() || model == null) {
                continue;
            }
            model.meanIdleSlack = stored.get().number("idleSlack").orElse(ASSUMED_IDLE_SLACK);
            Optional<JsonObject> filling = stored.get().object("filling");
            if (filling.isPresent()) {
                restore(model, filling.get());
            }
        }
    }

    private void restore(Model model, JsonObject filling) throws JsonSyntaxException {
        for (String image : filling.members().keySet()) {
            List<Object> pair = filling.list(image);
            int index = indexOf(image);
            if (index < 0 || pair.size() != 2 || !(pair.get(0) instanceof Number coefficient)) {
                continue;
            }
            if (pair.get(1) instanceof Number weight) {
                model.coefficients[index] = coefficient.doubleValue();
                model.products[index][index] = weight.doubleValue();
                model.targets[index] = weight.doubleValue() * coefficient.doubleValue();
            }
        }
    }

    /** Forgets the measurements of a job that has ended. */
    void forget(String job) {
        idle.remove(job);
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
        for (int i = 0; i < fillingIndex.size(); i++) {
            product += one.coefficients[i] * two.coefficients[i];
            oneSquared += one.coefficients[i] * one.coefficients[i];
            twoSquared += two.coefficients[i] * two.coefficients[i];
        }
        return oneSquared == 0 || twoSquared == 0 ? 0 : product / Math.sqrt(oneSquared * twoSquared);
    }
}
