package org.pollensill.bench.measure;

import java.util.List;

/** Cases of the measurement {@code slopes}: entry daemon, zone, settings and scheduler. */
final class Slopes {

    private static final List<Integer> UPSTREAM_COUNTS = List.of(11, 45, 180, 720);
    private static final List<Integer> QUEUE_LENGTHS = List.of(100, 1_000, 10_000, 100_000);
    private static final List<Integer> ENTRY_HOST_COUNTS = List.of(2, 4, 8, 16, 32);
    private static final List<Integer> WORKER_COUNTS = List.of(45, 180, 720, 2_880);
    private static final List<Integer> TASK_COUNTS = List.of(1_000, 4_000, 16_000, 64_000);
    private static final List<Integer> TEAM_COUNTS = List.of(10, 40, 160, 630);

    private Slopes() {}

    static List<ScalingCase> all() {
        return List.of(
                new ScalingCase(
                        "entry: one request, by upstreams", UPSTREAM_COUNTS, EntryOperations::dispatchedRequest),
                new ScalingCase(
                        "entry: one request among waiting ones, by waiting requests",
                        QUEUE_LENGTHS,
                        EntryOperations::queuedRequest),
                new ScalingCase(
                        "entry: one refusal in a flood, by waiting requests", QUEUE_LENGTHS, EntryOperations::refusal),
                new ScalingCase("entry: timer tick, by upstreams", UPSTREAM_COUNTS, EntryOperations::timerTick),
                new ScalingCase(
                        "zone: assignment after a member is lost, by entry hosts",
                        ENTRY_HOST_COUNTS,
                        FleetOperations::assignSlices),
                new ScalingCase("settings: one change, by teams", TEAM_COUNTS, FleetOperations::changeSettings),
                new ScalingCase(
                        "settings: values of a place, by teams", TEAM_COUNTS, FleetOperations::effectiveSettings),
                new ScalingCase("scheduler: one placement, by workers", WORKER_COUNTS, FleetOperations::placeTask),
                new ScalingCase(
                        "scheduler: round with waiting tasks, by tasks",
                        TASK_COUNTS,
                        size -> ShardOperations.dispatchRound(size, 40, 100)),
                new ScalingCase(
                        "scheduler: round with waiting tasks, by teams",
                        TEAM_COUNTS,
                        size -> ShardOperations.dispatchRound(16_000, size, 100)),
                new ScalingCase(
                        "scheduler: round with waiting tasks, by workers",
                        WORKER_COUNTS,
                        size -> ShardOperations.dispatchRound(16_000, 40, size)));
    }
}
