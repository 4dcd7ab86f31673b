package org.pollensill.claim;

import java.util.List;
import java.util.Objects;

import org.pollensill.contract.Refusal;
import org.pollensill.platform.Commit;

/** Action that the caller of a {@link ClaimTable} carries out. */
public sealed interface ClaimEffect {

    /**
     * Sends a commit to the table service; its result is reported with {@code committed} or {@code commitFailed}.
     *
     * @param commit the commit
     */
    record Write(Commit commit) implements ClaimEffect {

        /**
         * Creates the effect.
         *
         * @throws NullPointerException if {@code commit} is null
         */
        public Write {
            Objects.requireNonNull(commit, "commit is null");
        }
    }

    /**
     * Reads rows of the table service; the result is reported with {@code rowsRead} or {@code readFailed}.
     *
     * @param readId id of the read
     * @param keys the row keys
     */
    record Read(String readId, List<String> keys) implements ClaimEffect {

        /**
         * Creates the effect.
         *
         * @throws NullPointerException if an argument is null
         */
        public Read {
            Objects.requireNonNull(readId, "readId is null");
            keys = List.copyOf(Objects.requireNonNull(keys, "keys is null"));
        }
    }

    /**
     * The claim is stored, so the request may be submitted to a pool. Its outcome is reported with {@code completed},
     * {@code notRun} or {@code unknown}.
     *
     * @param requestId the request's id
     */
    record Granted(String requestId) implements ClaimEffect {

        /**
         * Creates the effect.
         *
         * @throws NullPointerException if {@code requestId} is null
         */
        public Granted {
            Objects.requireNonNull(requestId, "requestId is null");
        }
    }

    /**
     * Answers a repeated request with the answer of the request that ran.
     *
     * @param requestId the repeated request's id
     * @param answer the answer
     */
    record Replay(String requestId, StoredAnswer answer) implements ClaimEffect {

        /**
         * Creates the effect.
         *
         * @throws NullPointerException if an argument is null
         */
        public Replay {
            Objects.requireNonNull(requestId, "requestId is null");
            Objects.requireNonNull(answer, "answer is null");
        }
    }

    /**
     * Refuses a request for which there is no answer.
     *
     * @param requestId the request's id
     * @param refusal the reason
     */
    record Refused(String requestId, Refusal refusal) implements ClaimEffect {

        /**
         * Creates the effect.
         *
         * @throws NullPointerException if an argument is null
         */
        public Refused {
            Objects.requireNonNull(requestId, "requestId is null");
            Objects.requireNonNull(refusal, "refusal is null");
        }
    }

    /**
     * Queries the process that holds the claim for the answer of its request; the result is reported with
     * {@code holderAnswered}.
     *
     * @param rowKey key of the claim's row
     * @param host host of the holder
     * @param incarnation incarnation of the holder
     */
    record QueryHolder(String rowKey, String host, String incarnation) implements ClaimEffect {

        /**
         * Creates the effect.
         *
         * @throws NullPointerException if an argument is null
         */
        public QueryHolder {
            Objects.requireNonNull(rowKey, "rowKey is null");
            Objects.requireNonNull(host, "host is null");
            Objects.requireNonNull(incarnation, "incarnation is null");
        }
    }
}
