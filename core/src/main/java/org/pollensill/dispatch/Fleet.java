package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import org.pollensill.runner.RunnerEntry;

/** The runners that the leader knows, by identity. */
final class Fleet {

    private final Map<String, RunnerState> runners = new LinkedHashMap<>();
    private final long inheritedLapseAtMs;

    /**
     * Creates an empty fleet.
     *
     * @param inheritedLapseAtMs local time at which all leases of former leaders have surely expired
     */
    Fleet(long inheritedLapseAtMs) {
        this.inheritedLapseAtMs = inheritedLapseAtMs;
    }

    Collection<RunnerState> all() {
        return runners.values();
    }

    Optional<RunnerState> get(String id) {
        return Optional.ofNullable(runners.get(id));
    }

    /** Returns a runner that a record names, listed or not. */
    RunnerState recorded(String id, long bornMs) {
        RunnerState runner = runners.computeIfAbsent(id, key -> create(key, bornMs));
        return runner;
    }

    private RunnerState create(String id, long bornMs) {
        RunnerState runner = new RunnerState(id, bornMs);
        runner.inheritedLapseAtMs = inheritedLapseAtMs;
        return runner;
    }

    /**
     * Takes the list of runners.
     *
     * @param entries all entries
     * @param lifeEnded is told of each runner that has started anew, before its new life begins
     */
    void update(List<RunnerEntry> entries, Consumer<RunnerState> lifeEnded) {
        Set<String> listed = new HashSet<>();
        for (RunnerEntry entry : entries) {
            listed.add(entry.id());
            RunnerState runner = runners.computeIfAbsent(entry.id(), id -> create(id, entry.bornMs()));
            if (entry.bornMs() > runner.bornMs) {
                lifeEnded.accept(runner);
                runner.beginLife(entry.bornMs());
            } else if (entry.bornMs() < runner.bornMs) {
                // The list lags behind what the runner itself has reported.
                continue;
            }
            runner.entry = Optional.of(entry);
            runner.listed = true;
        }
        for (RunnerState runner : new ArrayList<>(runners.values())) {
            if (listed.contains(runner.id)) {
                continue;
            }
            runner.listed = false;
            if (runner.tasks.isEmpty() && !runner.holdInFlight) {
                runners.remove(runner.id);
            }
        }
    }
}
