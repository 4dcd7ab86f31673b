package org.pollensill.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.pollensill.contract.Refusal;
import org.pollensill.contract.Refusal.Reason;
import org.pollensill.platform.Condition;
import org.pollensill.platform.Row;

/** State machine of the claims of a {@link ClaimTable}. Not thread-safe; guarded by the table's lock. */
final class ClaimStateMachine {

    private static final int MAX_READ_KEYS = 100;

    final GroupCommitter committer;
    ClaimSettings settings;
    private final Map<String, LocalClaim> claimsByRow = new HashMap<>();
    private final Map<String, LocalClaim> claimsByRequest = new HashMap<>();
    private final Set<String> rowsToRead = new LinkedHashSet<>();
    private long lastId;
    private long pendingAnswerBytes;
    private Optional<ClaimEffect.Read> readInFlight = Optional.empty();

    ClaimStateMachine(ClaimSettings settings, RandomGenerator random, long nowNs) {
        this.settings = Objects.requireNonNull(settings, "settings is null");
        committer = new GroupCommitter(
                settings.host() + "/" + settings.incarnation(),
                settings.commitsPerSecond(),
                random,
                this::writeEnded,
                nowNs);
    }

    int size() {
        return claimsByRow.size();
    }

    void claim(String rowKey, LocalClaim.Waiter request, long nowNs, long nowMs, List<ClaimEffect> effects) {
        LocalClaim existing = claimsByRow.get(rowKey);
        if (existing != null) {
            handleRepeat(existing, request, effects);
            return;
        }
        if (committer.isBackingOff(nowNs) || claimsByRow.size() >= settings.maxClaims()) {
            effects.add(refused(request.requestId(), Reason.STORE_DOWN));
            return;
        }
        add(rowKey, request, nowMs);
    }

    private void add(String rowKey, LocalClaim.Waiter request, long nowMs) {
        ClaimRow row = new ClaimRow(
                settings.host() + "/" + settings.incarnation() + "-" + ++lastId,
                request.payloadHash(),
                settings.host(),
                settings.incarnation(),
                nowMs,
                Optional.empty());
        LocalClaim claim = new LocalClaim(rowKey, row, request.requestId());
        claimsByRow.put(rowKey, claim);
        claimsByRequest.put(request.requestId(), claim);
        insert(claim);
    }

    void completed(String requestId, StoredAnswer answer, List<ClaimEffect> effects) {
        Optional<LocalClaim> heldClaim = heldClaim(requestId);
        if (heldClaim.isEmpty()) {
            return;
        }
        LocalClaim claim = heldClaim.get();
        boolean bodyFits = answer.bodyBytes() <= settings.answerStoreBytes()
                && pendingAnswerBytes + answer.bodyBytes() <= settings.maxPendingAnswerBytes();
        StoredAnswer stored = bodyFits ? answer : answer.withoutBody();
        pendingAnswerBytes += stored.bodyBytes();
        claim.state = LocalClaim.State.COMPLETED;
        claim.answer = Optional.of(stored);
        claim.requestId = Optional.empty();
        claimsByRequest.remove(requestId);
        write(claim, claim.version, Optional.of(claim.row.completed(stored).encode()));
        drainWaiters(claim).forEach(waiter -> effects.add(new ClaimEffect.Replay(waiter.requestId(), answer)));
    }

    void notRun(String requestId, List<ClaimEffect> effects) {
        heldClaim(requestId).ifPresent(claim -> withdraw(claim, effects));
    }

    void outcomeUnknown(String requestId, List<ClaimEffect> effects) {
        heldClaim(requestId).ifPresent(claim -> {
            refuseWaiters(claim, Reason.EARLIER_UNKNOWN, effects);
            remove(claim);
        });
    }

    void expired(String requestId, List<ClaimEffect> effects) {
        LocalClaim claim = claimsByRequest.get(requestId);
        if (claim == null) {
            return;
        }
        if (!claim.requestId.equals(Optional.of(requestId))) {
            claim.waiters.removeIf(waiter -> waiter.requestId().equals(requestId));
            claimsByRequest.remove(requestId);
            effects.add(refused(requestId, Reason.EARLIER_UNKNOWN));
        } else if (claim.state != LocalClaim.State.HELD) {
            claim.requestId = Optional.empty();
            claimsByRequest.remove(requestId);
            effects.add(refused(requestId, Reason.DEADLINE_PASSED));
        }
    }

    void queryReceived(String queryId, String rowKey, List<ClaimEffect> effects) {
        LocalClaim claim = claimsByRow.get(rowKey);
        if (claim == null) {
            effects.add(refused(queryId, Reason.EARLIER_UNKNOWN));
            return;
        }
        handleRepeat(claim, new LocalClaim.Waiter(queryId, claim.row.payloadHash(), true), effects);
    }

    void holderAnswered(String rowKey, Optional<StoredAnswer> answer, List<ClaimEffect> effects) {
        LocalClaim claim = claimsByRow.get(rowKey);
        if (claim == null || claim.state != LocalClaim.State.QUERYING_HOLDER) {
            return;
        }
        if (answer.isPresent()) {
            resolve(claim, answer, effects);
            return;
        }
        // The holder forgets the claim once its outcome is stored, which may have happened since the row was read.
        claim.holderQueried = true;
        claim.state = LocalClaim.State.READING;
        rowsToRead.add(rowKey);
    }

    void rowsRead(String readId, Map<String, Row> rows, long nowNs, List<ClaimEffect> effects) {
        if (committer.rowsRead(readId, rows, nowNs, effects) || !isInFlight(readId)) {
            return;
        }
        List<String> keys = readInFlight.orElseThrow().keys();
        readInFlight = Optional.empty();
        for (String rowKey : keys) {
            rowsToRead.remove(rowKey);
            LocalClaim claim = claimsByRow.get(rowKey);
            if (claim != null && claim.state == LocalClaim.State.READING) {
                conflictingRowRead(claim, Optional.ofNullable(rows.get(rowKey)), effects);
            }
        }
    }

    void readFailed(String readId, long nowNs) {
        if (!committer.readFailed(readId, nowNs) && isInFlight(readId)) {
            committer.backOff(nowNs);
            readInFlight = Optional.empty();
        }
    }

    /** Sends the commits and reads that are due. */
    void flush(long nowNs, List<ClaimEffect> effects) {
        committer.flush(nowNs, effects);
        if (!rowsToRead.isEmpty() && readInFlight.isEmpty() && !committer.isBackingOff(nowNs)) {
            ClaimEffect.Read read = new ClaimEffect.Read(
                    "read-" + ++lastId, rowsToRead.stream().limit(MAX_READ_KEYS).toList());
            readInFlight = Optional.of(read);
            effects.add(read);
        }
    }

    private boolean isInFlight(String readId) {
        return readInFlight.isPresent() && readInFlight.get().readId().equals(readId);
    }

    private void handleRepeat(LocalClaim claim, LocalClaim.Waiter waiter, List<ClaimEffect> effects) {
        boolean hashNotComparable =
                claim.state == LocalClaim.State.READING || claim.state == LocalClaim.State.WITHDRAWING;
        String expectedHash = claim.storedPayloadHash.orElse(claim.row.payloadHash());
        if (!hashNotComparable && !expectedHash.equals(waiter.payloadHash())) {
            effects.add(refused(waiter.requestId(), Reason.KEY_REUSED));
            return;
        }
        if (claim.state == LocalClaim.State.COMPLETED) {
            effects.add(new ClaimEffect.Replay(waiter.requestId(), claim.answer.orElseThrow()));
            return;
        }
        claim.waiters.add(waiter);
        claimsByRequest.put(waiter.requestId(), claim);
    }

    private void writeEnded(
            ClaimWrite write, GroupCommitter.WriteResult result, long version, long nowNs, List<ClaimEffect> effects) {
        LocalClaim claim = write.claim();
        switch (claim.state) {
            case CLAIMING -> insertEnded(claim, result, version, effects);
            case COMPLETED -> {
                // A conflict means that the row has expired or that an earlier attempt of this write took effect.
                pendingAnswerBytes -= claim.answer.orElseThrow().bodyBytes();
                remove(claim);
            }
            case WITHDRAWING -> {
                List<LocalClaim.Waiter> waiters = List.copyOf(claim.waiters);
                remove(claim);
                claimForWaiters(claim, waiters, effects);
            }
            default -> throw new IllegalStateException("a write ended for a claim in state " + claim.state);
        }
    }

    private void insertEnded(
            LocalClaim claim, GroupCommitter.WriteResult result, long version, List<ClaimEffect> effects) {
        switch (result) {
            case DONE -> markHeld(claim, version, effects);
            case CONFLICT -> {
                claim.state = LocalClaim.State.READING;
                rowsToRead.add(claim.rowKey);
            }
            default -> {
                claim.requestId.ifPresent(request -> effects.add(refused(request, Reason.STORE_DOWN)));
                refuseWaiters(claim, Reason.STORE_DOWN, effects);
                remove(claim);
            }
        }
    }

    private void markHeld(LocalClaim claim, long version, List<ClaimEffect> effects) {
        claim.state = LocalClaim.State.HELD;
        claim.version = version;
        if (claim.requestId.isPresent()) {
            effects.add(new ClaimEffect.Granted(claim.requestId.get()));
        } else {
            withdraw(claim, effects);
        }
    }

    private void withdraw(LocalClaim claim, List<ClaimEffect> effects) {
        claim.requestId.ifPresent(claimsByRequest::remove);
        claim.requestId = Optional.empty();
        Optional<LocalClaim.Waiter> successor = claim.waiters.stream()
                .filter(waiter -> !waiter.remote() && waiter.payloadHash().equals(claim.row.payloadHash()))
                .findFirst();
        if (successor.isPresent()) {
            claim.waiters.remove(successor.get());
            claim.requestId = Optional.of(successor.get().requestId());
            effects.add(new ClaimEffect.Granted(successor.get().requestId()));
            return;
        }
        refuseWaiters(claim, Reason.EARLIER_UNKNOWN, effects);
        claim.state = LocalClaim.State.WITHDRAWING;
        write(claim, claim.version, Optional.empty());
    }

    /** Claims the key again for the requests that arrived during a withdrawal. */
    private void claimForWaiters(LocalClaim withdrawn, List<LocalClaim.Waiter> waiters, List<ClaimEffect> effects) {
        for (LocalClaim.Waiter waiter : waiters) {
            LocalClaim claim = claimsByRow.get(withdrawn.rowKey);
            if (waiter.remote()) {
                effects.add(refused(waiter.requestId(), Reason.EARLIER_UNKNOWN));
            } else if (claim != null) {
                handleRepeat(claim, waiter, effects);
            } else {
                add(withdrawn.rowKey, waiter, withdrawn.row.claimedAtMs());
            }
        }
    }

    /** Resolves the claim from the row that its insert conflicted with; inserts again where that row is gone. */
    private void conflictingRowRead(LocalClaim claim, Optional<Row> row, List<ClaimEffect> effects) {
        if (row.isEmpty()) {
            claim.state = LocalClaim.State.CLAIMING;
            insert(claim);
            return;
        }
        ClaimRow storedRow;
        try {
            storedRow = ClaimRow.decode(row.get().value());
        } catch (ClaimRowException e) {
            resolve(claim, Optional.empty(), effects);
            return;
        }
        if (storedRow.claimId().equals(claim.row.claimId())) {
            markHeld(claim, row.get().version(), effects);
            return;
        }
        claim.storedPayloadHash = Optional.of(storedRow.payloadHash());
        boolean ownProcess = storedRow.host().equals(settings.host())
                && storedRow.incarnation().equals(settings.incarnation());
        if (storedRow.answer().isPresent() || ownProcess || claim.holderQueried) {
            resolve(claim, storedRow.answer(), effects);
            return;
        }
        claim.state = LocalClaim.State.QUERYING_HOLDER;
        effects.add(new ClaimEffect.QueryHolder(claim.rowKey, storedRow.host(), storedRow.incarnation()));
    }

    /** Answers each request from the conflicting claim: with its stored answer, or with a refusal where it has none. */
    private void resolve(LocalClaim claim, Optional<StoredAnswer> answer, List<ClaimEffect> effects) {
        List<LocalClaim.Waiter> requests = drainWaiters(claim);
        claim.requestId.ifPresent(
                request -> requests.add(new LocalClaim.Waiter(request, claim.row.payloadHash(), false)));
        for (LocalClaim.Waiter request : requests) {
            if (claim.storedPayloadHash.isPresent()
                    && !claim.storedPayloadHash.get().equals(request.payloadHash())) {
                effects.add(refused(request.requestId(), Reason.KEY_REUSED));
            } else if (answer.isPresent()) {
                effects.add(new ClaimEffect.Replay(request.requestId(), answer.get()));
            } else {
                effects.add(refused(request.requestId(), Reason.EARLIER_UNKNOWN));
            }
        }
        remove(claim);
    }

    private void insert(LocalClaim claim) {
        write(claim, Condition.ABSENT, Optional.of(claim.row.encode()));
    }

    private void write(LocalClaim claim, long expectedVersion, Optional<String> value) {
        committer.add(new ClaimWrite(claim, expectedVersion, value));
    }

    private Optional<LocalClaim> heldClaim(String requestId) {
        return Optional.ofNullable(claimsByRequest.get(requestId))
                .filter(claim ->
                        claim.state == LocalClaim.State.HELD && claim.requestId.equals(Optional.of(requestId)));
    }

    private List<LocalClaim.Waiter> drainWaiters(LocalClaim claim) {
        List<LocalClaim.Waiter> waiters = new ArrayList<>(claim.waiters);
        claim.waiters.clear();
        waiters.forEach(waiter -> claimsByRequest.remove(waiter.requestId()));
        return waiters;
    }

    private void refuseWaiters(LocalClaim claim, Reason reason, List<ClaimEffect> effects) {
        drainWaiters(claim).forEach(waiter -> effects.add(refused(waiter.requestId(), reason)));
    }

    private void remove(LocalClaim claim) {
        claimsByRow.remove(claim.rowKey, claim);
        claim.requestId.ifPresent(claimsByRequest::remove);
        claim.waiters.forEach(waiter -> claimsByRequest.remove(waiter.requestId()));
    }

    private static ClaimEffect refused(String requestId, Reason reason) {
        return new ClaimEffect.Refused(requestId, new Refusal(reason, 0));
    }
}
