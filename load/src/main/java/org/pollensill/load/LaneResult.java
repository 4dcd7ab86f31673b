package org.pollensill.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Measurements of one lane, or the sum over all lanes. */
final class LaneResult {

    /** Width of a timeline bucket. */
    static final long BUCKET_MS = 100;

    private final LoadConfig config;
    // By phase, then by kind.
    private final List<Map<String, KindStats>> phases = new ArrayList<>();
    // Requests sent and requests answered within their deadline, by kind and bucket of the intended start.
    private final Map<String, long[]> sentByBucket = new HashMap<>();
    private final Map<String, long[]> usefulByBucket = new HashMap<>();
    // Requests answered within their deadline, by kind and bucket of the answer.
    private final Map<String, long[]> doneByBucket = new HashMap<>();
    private final List<String> notRunWorkIds = new ArrayList<>();

    LaneResult(LoadConfig config) {
        this.config = config;
        long totalMs =
                config.phases().stream().mapToLong(LoadConfig.Phase::durationMs).sum();
        for (LoadConfig.Phase phase : config.phases()) {
            Map<String, KindStats> kinds = new LinkedHashMap<>();
            config.kinds().stream()
                    .filter(kind -> phase.ratesPerSecond().getOrDefault(kind.name(), 0.0) > 0)
                    .forEach(kind -> kinds.put(kind.name(), new KindStats()));
            phases.add(kinds);
        }
        for (LoadConfig.Kind kind : config.kinds()) {
            sentByBucket.put(kind.name(), new long[(int) (totalMs / BUCKET_MS) + 1]);
            usefulByBucket.put(kind.name(), new long[(int) (totalMs / BUCKET_MS) + 1]);
            doneByBucket.put(kind.name(), new long[(int) (totalMs / BUCKET_MS) + 1]);
        }
    }

    void record(Call call, Outcome outcome, String detail, long latencyNs, long intendedNs) {
        String kind = call.kind().name();
        phases.get(call.phase())
                .get(kind)
                .record(outcome, detail, latencyNs, call.kind().deadlineMs());
        int bucket = (int) (intendedNs / 1_000_000 / BUCKET_MS);
        sentByBucket.get(kind)[bucket]++;
        if (outcome == Outcome.COMPLETED && latencyNs <= call.kind().deadlineMs() * 1_000_000) {
            usefulByBucket.get(kind)[bucket]++;
            long[] doneBuckets = doneByBucket.get(kind);
            doneBuckets[(int) Math.min(doneBuckets.length - 1, (intendedNs + latencyNs) / 1_000_000 / BUCKET_MS)]++;
        }
        // If an earlier attempt may have run, the stand-in cannot verify that the refused attempt did not run.
        if (outcome == Outcome.NOT_RUN && !call.mayHaveRun()) {
            notRunWorkIds.add(call.workId());
        }
    }

    void add(LaneResult other) {
        for (int i = 0; i < phases.size(); i++) {
            Map<String, KindStats> others = other.phases.get(i);
            phases.get(i).forEach((kind, stats) -> stats.add(others.get(kind)));
        }
        sentByBucket.forEach((kind, buckets) -> add(buckets, other.sentByBucket.get(kind)));
        usefulByBucket.forEach((kind, buckets) -> add(buckets, other.usefulByBucket.get(kind)));
        doneByBucket.forEach((kind, buckets) -> add(buckets, other.doneByBucket.get(kind)));
        notRunWorkIds.addAll(other.notRunWorkIds);
    }

    private static void add(long[] buckets, long[] others) {
        for (int i = 0; i < buckets.length; i++) {
            buckets[i] += others[i];
        }
    }

    List<String> notRunWorkIds() {
        return List.copyOf(notRunWorkIds);
    }

    KindStats stats(int phase, String kind) {
        return phases.get(phase).get(kind);
    }

    Map<String, Object> toMap() {
        List<Map<String, Object>> list = new ArrayList<>();
        for (int i = 0; i < phases.size(); i++) {
            LoadConfig.Phase phase = config.phases().get(i);
            Map<String, Object> kinds = new LinkedHashMap<>();
            phases.get(i).forEach((kind, stats) -> kinds.put(kind, stats.toMap(phase.durationMs())));
            Map<String, Object> entry = new LinkedHashMap<>();
            entry.put("phase", phase.name());
            entry.put("durationMs", phase.durationMs());
            entry.put("kinds", kinds);
            list.add(entry);
        }
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("phases", list);
        map.put("timelineBucketMs", BUCKET_MS);
        map.put("sentByBucket", sentByBucket);
        map.put("usefulByBucket", usefulByBucket);
        map.put("doneByBucket", doneByBucket);
        return map;
    }
}
