package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.pollensill.job.TaskName;
import org.pollensill.job.Trait;
import org.pollensill.runner.EndKind;

/**
 * The gang rule: members with one run number work only while all are present, end together, and do not wait for the
 * others without limit.
 */
final class SimulatedGangs {

    private static final int WORK_MS = 900;
    private static final int GANG_TIMEOUT_MS = 3_000;

    private record Member(SimulatedRunner runner, TaskName task) {}

    private record Key(String jobId, int occurrence, int step, int run) {

        private static Key of(TaskName task, int run) {
            return new Key(task.jobId(), task.occurrence(), task.step(), run);
        }
    }

    private static final class Gang {

        private final long firstMs;
        private boolean works;
        private boolean broken;
        private boolean done;

        private Gang(long firstMs) {
            this.firstMs = firstMs;
        }
    }

    private final SimulatedCluster cluster;
    private final Map<Key, Gang> gangs = new HashMap<>();

    SimulatedGangs(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    void onEnd(TaskName task, int run, EndKind kind) {
        Gang gang = gangs.get(Key.of(task, run));
        if (gang == null) {
            return;
        }
        if (kind == EndKind.DONE) {
            gang.done = true;
        } else if (gang.works && !gang.done) {
            gang.broken = true;
        }
    }

    void advance(long nowMs) {
        Map<Key, List<Member>> present = new HashMap<>();
        for (SimulatedRunner runner : cluster.runners.values()) {
            for (Map.Entry<TaskName, Integer> run : runner.runningRuns().entrySet()) {
                if (cluster.step(run.getKey()).hasTrait(Trait.GANG)) {
                    present.computeIfAbsent(Key.of(run.getKey(), run.getValue()), key -> new ArrayList<>())
                            .add(new Member(runner, run.getKey()));
                }
            }
        }
        present.forEach((key, members) -> advance(key, members, nowMs));
    }

    private void advance(Key key, List<Member> members, long nowMs) {
        Gang gang = gangs.computeIfAbsent(key, absent -> new Gang(nowMs));
        int size = cluster.step(members.get(0).task()).count();
        if (gang.works && gang.broken) {
            members.forEach(member -> member.runner().endMember(member.task(), EndKind.GANG_BROKEN, nowMs));
        } else if (!gang.works && members.size() == size) {
            gang.works = true;
            members.forEach(member -> member.runner().setEnd(member.task(), nowMs + WORK_MS));
        } else if (!gang.works && nowMs - gang.firstMs > GANG_TIMEOUT_MS) {
            members.forEach(member -> member.runner().endMember(member.task(), EndKind.GANG_INCOMPLETE, nowMs));
        }
    }
}
