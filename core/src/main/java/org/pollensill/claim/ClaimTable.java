package org.pollensill.claim;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import org.pollensill.platform.CommitOutcome;
import org.pollensill.platform.PlatformException;
import org.pollensill.platform.Row;

/**
 * Claims of idempotency keys by this process. A request with a key is dispatched only after its claim is stored, so
 * that a key is run at most once even if processes crash or messages are lost. Performs no I/O: each method handles
 * an event and returns the effects that the caller carries out.
 *
 * <p>Thread-safe; guarded by the {@code claims} lock.
 */
public final class ClaimTable {

    private final ClaimStateMachine stateMachine;

    private ClaimTable(ClaimSettings settings, RandomGenerator random, long nowNs) {
        stateMachine = new ClaimStateMachine(settings, random, nowNs);
    }

    /**
     * Returns an empty table.
     *
     * @param settings the settings
     * @param random source of randomness
     * @param nowNs the current monotonic time
     * @return the table
     */
    public static ClaimTable of(ClaimSettings settings, RandomGenerator random, long nowNs) {
        return new ClaimTable(settings, random, nowNs);
    }

    /**
     * Applies changed limits.
     *
     * @param newSettings the new settings, with the same host and incarnation
     */
    public synchronized void settingsChanged(ClaimSettings newSettings) {
        stateMachine.settings = Objects.requireNonNull(newSettings, "newSettings is null");
        stateMachine.committer.setCommitsPerSecond(newSettings.commitsPerSecond());
    }

    /**
     * Claims the key of a request.
     *
     * @param requestId the request's id
     * @param key identity of the claim
     * @param payloadHash hash of the request's method, path and body
     * @param nowNs the current monotonic time
     * @param nowMs the current wall-clock time
     * @return the effects; the request gets exactly one of granted, replay and refused, in this or in a later call
     */
    public synchronized List<ClaimEffect> claim(
            String requestId, ClaimKey key, String payloadHash, long nowNs, long nowMs) {
        LocalClaim.Waiter request = new LocalClaim.Waiter(requestId, payloadHash, false);
        return apply(nowNs, effects -> stateMachine.claim(key.rowKey(), request, nowNs, nowMs, effects));
    }

    /**
     * Handles the answer of a granted request. The answer may be returned to the caller before it is stored.
     *
     * @param requestId the request's id
     * @param answer the complete answer
     * @param nowNs the current monotonic time
     * @return the effects
     */
    public synchronized List<ClaimEffect> completed(String requestId, StoredAnswer answer, long nowNs) {
        return apply(nowNs, effects -> stateMachine.completed(requestId, answer, effects));
    }

    /**
     * Handles a granted request that was definitely not run. A waiting repeat takes over its claim; if there is none,
     * the claim is withdrawn.
     *
     * @param requestId the request's id
     * @param nowNs the current monotonic time
     * @return the effects
     */
    public synchronized List<ClaimEffect> notRun(String requestId, long nowNs) {
        return apply(nowNs, effects -> stateMachine.notRun(requestId, effects));
    }

    /**
     * Handles a granted request that may have run. Its row is kept, so that every repeat gets the same refusal.
     *
     * @param requestId the request's id
     * @param nowNs the current monotonic time
     * @return the effects
     */
    public synchronized List<ClaimEffect> outcomeUnknown(String requestId, long nowNs) {
        return apply(nowNs, effects -> stateMachine.outcomeUnknown(requestId, effects));
    }

    /**
     * Handles a request whose deadline has passed or whose caller has disconnected before it was granted. A claim that
     * is stored afterwards is withdrawn.
     *
     * @param requestId the request's id
     * @param nowNs the current monotonic time
     * @return the effects
     */
    public synchronized List<ClaimEffect> expired(String requestId, long nowNs) {
        return apply(nowNs, effects -> stateMachine.expired(requestId, effects));
    }

    /**
     * Handles another process's query for the answer of a request that this process has claimed.
     *
     * @param queryId id of the query, which the effects carry as the request id
     * @param rowKey key of the claim's row
     * @param nowNs the current monotonic time
     * @return the effects
     */
    public synchronized List<ClaimEffect> queryReceived(String queryId, String rowKey, long nowNs) {
        return apply(nowNs, effects -> stateMachine.queryReceived(queryId, rowKey, effects));
    }

    /**
     * Handles the reply of the process that holds the claim.
     *
     * @param rowKey key of the claim's row
     * @param answer the answer, empty if the process has none or is unreachable
     * @param nowNs the current monotonic time
     * @return the effects
     */
    public synchronized List<ClaimEffect> holderAnswered(String rowKey, Optional<StoredAnswer> answer, long nowNs) {
        return apply(nowNs, effects -> stateMachine.holderAnswered(rowKey, answer, effects));
    }

    /**
     * Handles the result of a commit.
     *
     * @param commitId the commit's id
     * @param outcome the table service's result
     * @param nowNs the current monotonic time
     * @return the effects
     */
    public synchronized List<ClaimEffect> committed(String commitId, CommitOutcome outcome, long nowNs) {
        return apply(nowNs, effects -> stateMachine.committer.committed(commitId, outcome, nowNs, effects));
    }

    /**
     * Handles a commit that failed or whose result was lost.
     *
     * @param commitId the commit's id
     * @param effect whether the commit can have taken effect
     * @param nowNs the current monotonic time
     * @return the effects
     */
    public synchronized List<ClaimEffect> commitFailed(String commitId, PlatformException.Effect effect, long nowNs) {
        return apply(nowNs, effects -> stateMachine.committer.commitFailed(commitId, effect, nowNs, effects));
    }

    /**
     * Handles the result of a read.
     *
     * @param readId the read's id
     * @param rows the rows that exist
     * @param nowNs the current monotonic time
     * @return the effects
     */
    public synchronized List<ClaimEffect> rowsRead(String readId, List<Row> rows, long nowNs) {
        Map<String, Row> byKey = rows.stream().collect(Collectors.toMap(Row::key, Function.identity()));
        return apply(nowNs, effects -> stateMachine.rowsRead(readId, byKey, nowNs, effects));
    }

    /**
     * Handles a failed read, which is sent again after a back-off.
     *
     * @param readId the read's id
     * @param nowNs the current monotonic time
     * @return the effects
     */
    public synchronized List<ClaimEffect> readFailed(String readId, long nowNs) {
        return apply(nowNs, effects -> stateMachine.readFailed(readId, nowNs));
    }

    /**
     * Sends the commits and reads that are due. Must be called every few milliseconds.
     *
     * @param nowNs the current monotonic time
     * @return the effects
     */
    public synchronized List<ClaimEffect> tick(long nowNs) {
        return apply(nowNs, effects -> {});
    }

    /**
     * Returns the number of claims that this process writes, holds or looks up.
     *
     * @return the number of claims
     */
    public synchronized int size() {
        return stateMachine.size();
    }

    private List<ClaimEffect> apply(long nowNs, Consumer<List<ClaimEffect>> event) {
        List<ClaimEffect> effects = new ArrayList<>(4);
        event.accept(effects);
        stateMachine.flush(nowNs, effects);
        return effects;
    }
}
