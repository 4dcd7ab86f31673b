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
 * Estimates how much best-effort tasks slow down latency-critical tasks, per pair of images. The slack of a
 * latency-critical task is its target tail latency divided by the measured one. It falls linearly with the best-effort
 * work on the same runner: slack = idle slack - sum of coefficient x share of the runner's processors, where the idle
 * slack is the slack without best-effort tasks. All tasks of a job carry the same load of their own, so the idle slack
 * is estimated per job and the coefficients from the differences between its tasks.
 */
final class InterferenceModel {

    /** Slack of a task whose tail latency equals its target. */
    static final double SLACK_AT_TARGET = 1;

    /** Idle slack of a job without measurements: a tail latency at 45% of its target. */
    static final double PRIOR_IDLE_SLACK = 2.2;

    /** Coefficient of a pair of images without measurements. */
    static final double PRIOR_COEFFICIENT = 3;

    /** Standard deviation of the coefficients across pairs of images. */
    private static final double COEFFICIENT_STANDARD_DEVIATION = 4;

    /** Variance of the measurement noise: 5% of a slack of 3, and as much again for the idle slack. */
    private static final double NOISE_VARIANCE = 0.04;

    /** Weight of the prior coefficient relative to the measurements. */
    private static final double PRIOR_WEIGHT =
            NOISE_VARIANCE / (COEFFICIENT_STANDARD_DEVIATION * COEFFICIENT_STANDARD_DEVIATION);

    /** Number of standard errors added to a coefficient when a placement is decided. */
    private static final double ADDED_STANDARD_ERRORS = 0.7;

    /** Minimum measured weight of the pairs that are stored for the next leader. */
    private static final double MIN_STORED_WEIGHT = 0.005;

    /** Factor by which each measurement of an image decays the earlier ones; some 3,300 measurements count. */
    private static final double DECAY_FACTOR = 0.9997;

    /** Time constant of a job's average idle slack; the load of a job changes over some seconds. */
    private static final double IDLE_SLACK_WINDOW_MS = 400;

    /** Maximum age of an estimate of the idle slack. */
    private static final long IDLE_SLACK_VALID_MS = 3_000;

    /** Slack loss at which a measurement has half its weight in the idle slack. */
    private static final double HALF_WEIGHT_SLACK_LOSS = 0.5;

    /** Weight of the image's mean idle slack relative to the measurements of a job. */
    private static final double IMAGE_MEAN_WEIGHT = 0.1;

    /** Weight of a task's own measurement relative to those of its job. */
    private static final double TASK_MEASUREMENT_WEIGHT = 0.5;

    /** Smoothing factor of the image's mean idle slack. */
    private static final double IMAGE_MEAN_SMOOTHING = 0.01;

    /** Maximum number of latency-critical images, and of best-effort images, with estimates of their own. */
    private static final int MAX_IMAGES = 48;

    private static final int SWEEPS_PER_SOLUTION = 4;

    /** Number of measurements after which the coefficients are solved again. */
    private static final int MEASUREMENTS_PER_SOLUTION = 20;

    private final Map<String, Integer> bestEffortIndexes = new LinkedHashMap<>();
    private final Map<String, Model> models = new LinkedHashMap<>();
    private final Map<String, IdleSlack> idleSlackByJob = new HashMap<>();

    /** Least-squares estimate of the coefficients of one latency-critical image. */
    private static final class Model {
        private final double[][] normalMatrix = new double[MAX_IMAGES][MAX_IMAGES];
        private final double[] normalVector = new double[MAX_IMAGES];
        private final double[] coefficients = new double[MAX_IMAGES];
        private double meanIdleSlack = PRIOR_IDLE_SLACK;
        private int measurementsSinceSolution;

        private Model() {
            Arrays.fill(coefficients, PRIOR_COEFFICIENT);
        }

        private void add(double[] features, int size, double slackLoss) {
            for (int i = 0; i < size; i++) {
                for (int j = 0; j < size; j++) {
                    normalMatrix[i][j] = normalMatrix[i][j] * DECAY_FACTOR + features[i] * features[j];
                }
                normalVector[i] = normalVector[i] * DECAY_FACTOR + features[i] * slackLoss;
            }
            measurementsSinceSolution++;
            if (measurementsSinceSolution >= MEASUREMENTS_PER_SOLUTION) {
                measurementsSinceSolution = 0;
                solve(size);
            }
        }

        /** Solves the non-negative least-squares problem by coordinate descent. */
        private void solve(int size) {
            for (int sweep = 0; sweep < SWEEPS_PER_SOLUTION; sweep++) {
                for (int i = 0; i < size; i++) {
                    double residual = normalVector[i] + PRIOR_WEIGHT * PRIOR_COEFFICIENT;
                    for (int j = 0; j < size; j++) {
                        residual -= i == j ? 0 : normalMatrix[i][j] * coefficients[j];
                    }
                    coefficients[i] = Math.max(0, residual / (normalMatrix[i][i] + PRIOR_WEIGHT));
                }
            }
        }
    }

    /** Recent mean idle slack of a job's tasks; measurements with little interference weigh most. */
    private static final class IdleSlack {
        private double weightedSum;
        private double weight;
        private long updatedAtMs;

        private void add(double slack, double slackLoss, long nowMs) {
            double decay = Math.exp(-(nowMs - updatedAtMs) / IDLE_SLACK_WINDOW_MS);
            double relativeLoss = slackLoss / HALF_WEIGHT_SLACK_LOSS;
            double addedWeight = 1 / (1 + relativeLoss * relativeLoss);
            weightedSum = weightedSum * decay + addedWeight * (slack + slackLoss);
            weight = weight * decay + addedWeight;
            updatedAtMs = nowMs;
        }

        private double meanWithPrior(double prior, double priorWeight) {
            return (weightedSum + priorWeight * prior) / (weight + priorWeight);
        }
    }

    /**
     * Adds a measurement of a latency-critical task. A slack that is not a positive finite number is ignored.
     *
     * @param criticalImage image of the task
     * @param jobId the task's job
     * @param shares share of the runner's processors by best-effort image, over the measurement window of the tail
     * @param slack target tail latency divided by the measured one
     * @param nowMs the time
     */
    void observe(String criticalImage, String jobId, Map<String, Double> shares, double slack, long nowMs) {
        if (!(slack > 0) || Double.isInfinite(slack)) {
            return;
        }
        Model model = modelFor(criticalImage);
        if (model == null) {
            return;
        }
        double slackLoss = slackLoss(criticalImage, shares);
        IdleSlack jobIdleSlack = idleSlackByJob.computeIfAbsent(jobId, key -> new IdleSlack());
        boolean recent = nowMs - jobIdleSlack.updatedAtMs < IDLE_SLACK_VALID_MS;
        double idleSlack =
                recent ? jobIdleSlack.meanWithPrior(model.meanIdleSlack, IMAGE_MEAN_WEIGHT) : model.meanIdleSlack;
        if (slackLoss < HALF_WEIGHT_SLACK_LOSS) {
            model.meanIdleSlack += IMAGE_MEAN_SMOOTHING * (slack + slackLoss - model.meanIdleSlack);
        }
        jobIdleSlack.add(slack, slackLoss, nowMs);
        if (shares.isEmpty() || !recent) {
            return;
        }
        double[] features = new double[MAX_IMAGES];
        for (Map.Entry<String, Double> share : shares.entrySet()) {
            int index = indexOf(share.getKey());
            if (index >= 0) {
                features[index] = share.getValue();
            }
        }
        model.add(features, bestEffortIndexes.size(), idleSlack - slack);
    }

    private int indexOf(String image) {
        Integer index = bestEffortIndexes.get(image);
        if (index != null) {
            return index;
        }
        if (bestEffortIndexes.size() >= MAX_IMAGES) {
            return -1;
        }
        bestEffortIndexes.put(image, bestEffortIndexes.size());
        return bestEffortIndexes.size() - 1;
    }

    private Model modelFor(String criticalImage) {
        Model model = models.get(criticalImage);
        if (model == null && models.size() < MAX_IMAGES) {
            model = new Model();
            models.put(criticalImage, model);
        }
        return model;
    }

    /**
     * Returns the slack that the tasks of a job would have without best-effort tasks.
     *
     * @param criticalImage image of the tasks
     * @param jobId the job
     * @param nowMs the time
     * @return the slack, or the image's mean if the job has no recent measurement
     */
    double idleSlack(String criticalImage, String jobId, long nowMs) {
        Model model = models.get(criticalImage);
        double imageMean = model == null ? PRIOR_IDLE_SLACK : model.meanIdleSlack;
        IdleSlack jobIdleSlack = idleSlackByJob.get(jobId);
        return jobIdleSlack == null || nowMs - jobIdleSlack.updatedAtMs >= IDLE_SLACK_VALID_MS
                ? imageMean
                : jobIdleSlack.meanWithPrior(imageMean, IMAGE_MEAN_WEIGHT);
    }

    /**
     * Returns the slack that a measured task would have without best-effort tasks: the estimate from its own
     * measurement, or the one of its job if that is lower.
     *
     * @param criticalImage image of the task
     * @param jobId the job
     * @param slack the task's measured slack
     * @param shares share of the runner's processors by best-effort image, over the time of the measurement
     * @return the slack
     */
    double idleSlack(String criticalImage, String jobId, double slack, Map<String, Double> shares) {
        double taskIdleSlack = slack + slackLoss(criticalImage, shares);
        IdleSlack jobIdleSlack = idleSlackByJob.get(jobId);
        return jobIdleSlack == null
                ? taskIdleSlack
                : Math.min(taskIdleSlack, jobIdleSlack.meanWithPrior(taskIdleSlack, TASK_MEASUREMENT_WEIGHT));
    }

    /**
     * Returns the expected slack loss that a best-effort image causes.
     *
     * @param criticalImage image of the latency-critical task
     * @param bestEffortImage image of the best-effort task
     * @param share share of the runner's processors that the best-effort task uses
     * @return the slack loss, at least 0
     */
    double slackLoss(String criticalImage, String bestEffortImage, double share) {
        Model model = models.get(criticalImage);
        Integer index = bestEffortIndexes.get(bestEffortImage);
        return share * (model == null || index == null ? PRIOR_COEFFICIENT : model.coefficients[index]);
    }

    /**
     * Returns a conservative estimate of the slack loss that a best-effort image causes: the expected loss plus a
     * margin that shrinks as the pair of images is measured more.
     *
     * @param criticalImage image of the latency-critical task
     * @param bestEffortImage image of the best-effort task
     * @param share share of the runner's processors that the best-effort task uses
     * @return the slack loss, at least 0
     */
    double conservativeSlackLoss(String criticalImage, String bestEffortImage, double share) {
        Model model = models.get(criticalImage);
        Integer index = bestEffortIndexes.get(bestEffortImage);
        double weight = model == null || index == null ? 0 : model.normalMatrix[index][index];
        double standardError = Math.sqrt(NOISE_VARIANCE / (weight + PRIOR_WEIGHT));
        return slackLoss(criticalImage, bestEffortImage, share) + share * ADDED_STANDARD_ERRORS * standardError;
    }

    /**
     * Returns the expected slack loss that several best-effort images cause together.
     *
     * @param criticalImage image of the latency-critical task
     * @param shares share of the runner's processors by best-effort image
     * @return the slack loss, at least 0
     */
    double slackLoss(String criticalImage, Map<String, Double> shares) {
        double slackLoss = 0;
        for (Map.Entry<String, Double> share : shares.entrySet()) {
            slackLoss += slackLoss(criticalImage, share.getKey(), share.getValue());
        }
        return slackLoss;
    }

    /**
     * Returns the estimates in the form in which they are stored for the next leader.
     *
     * @return the stored form
     */
    String encode() {
        return JsonText.object(json -> {
            for (Map.Entry<String, Model> model : models.entrySet()) {
                json.writeObjectFieldStart(model.getKey());
                json.writeNumberField("idleSlack", roundToThousandths(model.getValue().meanIdleSlack));
                json.writeObjectFieldStart("filling");
                for (Map.Entry<String, Integer> image : bestEffortIndexes.entrySet()) {
                    double weight = model.getValue().normalMatrix[image.getValue()][image.getValue()];
                    if (weight >= MIN_STORED_WEIGHT) {
                        json.writeArrayFieldStart(image.getKey());
                        json.writeNumber(roundToThousandths(model.getValue().coefficients[image.getValue()]));
                        json.writeNumber(roundToThousandths(weight));
                        json.writeEndArray();
                    }
                }
                json.writeEndObject();
                json.writeEndObject();
            }
        });
    }

    private static double roundToThousandths(double value) {
        return Math.round(value * 1_000) / 1_000.0;
    }

    /**
     * Restores the estimates of a former leader, unless this instance already has estimates of its own. Pairs that
     * cannot be read are skipped.
     *
     * @param text the stored form
     * @throws JsonSyntaxException if the text cannot be decoded
     */
    void restore(String text) throws JsonSyntaxException {
        if (!models.isEmpty()) {
            return;
        }
        JsonObject storedModels = JsonObject.parse(text);
        for (String criticalImage : storedModels.members().keySet()) {
            Optional<JsonObject> stored = storedModels.object(criticalImage);
            Model model = modelFor(criticalImage);
            if (stored.isEmpty() || model == null) {
                continue;
            }
            model.meanIdleSlack = stored.get().number("idleSlack").orElse(PRIOR_IDLE_SLACK);
            Optional<JsonObject> coefficients = stored.get().object("filling");
            if (coefficients.isPresent()) {
                restoreCoefficients(model, coefficients.get());
            }
        }
    }

    private void restoreCoefficients(Model model, JsonObject stored) throws JsonSyntaxException {
        for (String image : stored.members().keySet()) {
            List<Object> coefficientAndWeight = stored.list(image);
            int index = indexOf(image);
            if (index < 0
                    || coefficientAndWeight.size() != 2
                    || !(coefficientAndWeight.get(0) instanceof Number coefficient)) {
                continue;
            }
            if (coefficientAndWeight.get(1) instanceof Number weight) {
                model.coefficients[index] = coefficient.doubleValue();
                model.normalMatrix[index][index] = weight.doubleValue();
                model.normalVector[index] = weight.doubleValue() * coefficient.doubleValue();
            }
        }
    }

    /** Removes the measurements of a job that has ended. */
    void removeJob(String jobId) {
        idleSlackByJob.remove(jobId);
    }

    /**
     * Returns the cosine similarity of the sensitivities of two latency-critical images to best-effort images.
     *
     * @param first an image
     * @param second another image
     * @return 1 for the same sensitivity, 0 for none in common or if an image has no estimates
     */
    double similarity(String first, String second) {
        if (first.equals(second)) {
            return 1;
        }
        Model firstModel = models.get(first);
        Model secondModel = models.get(second);
        if (firstModel == null || secondModel == null) {
            return 0;
        }
        double dotProduct = 0;
        double firstSquared = 0;
        double secondSquared = 0;
        for (int i = 0; i < bestEffortIndexes.size(); i++) {
            dotProduct += firstModel.coefficients[i] * secondModel.coefficients[i];
            firstSquared += firstModel.coefficients[i] * firstModel.coefficients[i];
            secondSquared += secondModel.coefficients[i] * secondModel.coefficients[i];
        }
        return firstSquared == 0 || secondSquared == 0 ? 0 : dotProduct / Math.sqrt(firstSquared * secondSquared);
    }
}
