package org.pollensill.bench.measure;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.pollensill.load.LoadConfig;

/** Samples the processor time of processes and of the load generator at the phase boundaries. */
final class UsageSampler {

    private final Map<String, Long> processIds;
    private final List<LoadConfig.Phase> phases;
    private final List<Map<String, ProcessUsage>> samples = new ArrayList<>();
    private final Thread thread = new Thread(this::run, "usage-sampler");

    private UsageSampler(Map<String, Long> processIds, List<LoadConfig.Phase> phases) {
        this.processIds = new LinkedHashMap<>(processIds);
        this.processIds.put("load", ProcessHandle.current().pid());
        this.phases = List.copyOf(phases);
        thread.setDaemon(true);
    }

    static UsageSampler start(Map<String, Long> processIds, List<LoadConfig.Phase> phases) {
        UsageSampler sampler = new UsageSampler(processIds, phases);
        sampler.thread.start();
        return sampler;
    }

    private void run() {
        try {
            takeSample();
            for (LoadConfig.Phase phase : phases) {
                Thread.sleep(phase.durationMs());
                takeSample();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void takeSample() {
        Map<String, ProcessUsage> usages = new LinkedHashMap<>();
        processIds.forEach((name, pid) -> {
            try {
                usages.put(name, ProcessUsage.of(pid));
            } catch (IOException e) {
                // A process that has exited cannot be sampled; its phases are omitted from the result.
                usages.remove(name);
            }
        });
        samples.add(usages);
    }

    /** Returns processor usage by phase and process, as a percentage of one core. */
    synchronized Map<String, Object> processorPercent() {
        Map<String, Object> result = new LinkedHashMap<>();
        for (int i = 1; i < samples.size(); i++) {
            Map<String, ProcessUsage> previous = samples.get(i - 1);
            Map<String, Object> percents = new LinkedHashMap<>();
            samples.get(i).forEach((name, usage) -> {
                if (previous.containsKey(name)) {
                    percents.put(name, Math.round(usage.processorPercentSince(previous.get(name))));
                }
            });
            result.put(phases.get(i - 1).name(), percents);
        }
        return result;
    }
}
