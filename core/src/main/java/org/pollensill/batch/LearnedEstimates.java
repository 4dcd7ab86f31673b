package org.pollensill.batch;

import org.pollensill.worker.Interference;
import org.pollensill.worker.UsageLearning;

/** What a process has learned about kinds of work; it outlives the ownership of a shard. */
record LearnedEstimates(UsageLearning usage, Interference interference) {

    static LearnedEstimates empty() {
        return new LearnedEstimates(UsageLearning.empty(), Interference.empty());
    }
}
