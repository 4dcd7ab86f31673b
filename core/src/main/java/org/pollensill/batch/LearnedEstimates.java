package org.pollensill.batch;

import org.pollensill.worker.Interference;
import org.pollensill.worker.UsageEstimator;

/** What a process has learned about kinds of work; it outlives the ownership of a shard. */
record LearnedEstimates(UsageEstimator usage, Interference interference) {

    static LearnedEstimates empty() {
        return new LearnedEstimates(UsageEstimator.empty(), Interference.empty());
    }
}
