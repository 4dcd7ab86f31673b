package org.pollensill.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;

import com.google.protobuf.ByteString;
import org.pollensill.claim.StoredAnswer;
import org.pollensill.runtime.peer.PeerHub;
import org.pollensill.runtime.peer.PeerLink;
import org.pollensill.runtime.peer.PeerListener;
import org.pollensill.runtime.peer.wire.ClaimAnswer;
import org.pollensill.runtime.peer.wire.ClaimQuery;
import org.pollensill.runtime.peer.wire.Envelope;
import org.pollensill.runtime.peer.wire.Header;

/** Queries the process that claimed an idempotency key for the answer, and replies to such queries of peers. */
final class ClaimQueries implements PeerListener {

    private static final String QUERY_PREFIX = "query-";

    private final PeerHub hub;
    private final AtomicLong queryCount = new AtomicLong();
    private final Map<String, Query> receivedQueries = new ConcurrentHashMap<>();
    private final Map<String, PeerLink> sentQueries = new ConcurrentHashMap<>();
    private volatile BiConsumer<String, String> onQuery = (queryId, rowKey) -> {};
    private volatile BiConsumer<String, Optional<StoredAnswer>> onAnswer = (rowKey, answer) -> {};

    private record Query(PeerLink link, String rowKey) {}

    ClaimQueries(PeerHub hub) {
        this.hub = Objects.requireNonNull(hub, "hub is null");
    }

    void start(BiConsumer<String, String> query, BiConsumer<String, Optional<StoredAnswer>> answer) {
        onQuery = Objects.requireNonNull(query, "query is null");
        onAnswer = Objects.requireNonNull(answer, "answer is null");
        hub.add(this);
    }

    /** Queries the holder of a claim. An unreachable holder is reported as one without an answer. */
    void queryHolder(String rowKey, String host, String incarnation) {
        Optional<PeerLink> link = hub.links().stream()
                .filter(candidate -> candidate.peer().host().equals(host)
                        && candidate.peer().incarnation().equals(incarnation))
                .findFirst();
        if (link.isEmpty()) {
            onAnswer.accept(rowKey, Optional.empty());
            return;
        }
        sentQueries.put(rowKey, link.get());
        link.get()
                .send(Envelope.newBuilder()
                        .setClaimQuery(ClaimQuery.newBuilder().setRowKey(rowKey))
                        .build());
    }

    /** Sends an answer if the ID belongs to a peer's query. Returns false for other IDs. */
    boolean sendAnswer(String queryId, StoredAnswer answer) {
        Query query = receivedQueries.remove(queryId);
        if (query == null) {
            return queryId.startsWith(QUERY_PREFIX);
        }
        ClaimAnswer.Builder message = ClaimAnswer.newBuilder()
                .setRowKey(query.rowKey())
                .setPresent(true)
                .setStatus(answer.status())
                .setBody(ByteString.copyFrom(answer.body()))
                .setBodyStored(answer.bodyStored());
        answer.headers()
                .forEach((name, value) ->
                        message.addHeaders(Header.newBuilder().setName(name).setValue(value)));
        query.link().send(Envelope.newBuilder().setClaimAnswer(message).build());
        return true;
    }

    /** Replies that there is no answer if the ID belongs to a peer's query. Returns false for other IDs. */
    boolean sendNoAnswer(String queryId) {
        Query query = receivedQueries.remove(queryId);
        if (query == null) {
            return queryId.startsWith(QUERY_PREFIX);
        }
        query.link()
                .send(Envelope.newBuilder()
                        .setClaimAnswer(ClaimAnswer.newBuilder().setRowKey(query.rowKey()))
                        .build());
        return true;
    }

    @Override
    public void received(PeerLink link, Envelope envelope) {
        if (envelope.hasClaimQuery()) {
            String queryId = QUERY_PREFIX + queryCount.incrementAndGet();
            String rowKey = envelope.getClaimQuery().getRowKey();
            receivedQueries.put(queryId, new Query(link, rowKey));
            onQuery.accept(queryId, rowKey);
        } else if (envelope.hasClaimAnswer()) {
            ClaimAnswer message = envelope.getClaimAnswer();
            if (sentQueries.remove(message.getRowKey()) != null) {
                onAnswer.accept(message.getRowKey(), stored(message));
            }
        }
    }

    private static Optional<StoredAnswer> stored(ClaimAnswer message) {
        if (!message.getPresent()) {
            return Optional.empty();
        }
        Map<String, String> headers = new HashMap<>();
        message.getHeadersList().forEach(header -> headers.put(header.getName(), header.getValue()));
        return Optional.of(new StoredAnswer(
                message.getStatus(), headers, message.getBody().toByteArray(), message.getBodyStored()));
    }

    @Override
    public void disconnected(PeerLink link) {
        receivedQueries.values().removeIf(query -> query.link() == link);
        List<String> lostRowKeys = sentQueries.entrySet().stream()
                .filter(entry -> entry.getValue() == link)
                .map(Map.Entry::getKey)
                .toList();
        for (String rowKey : lostRowKeys) {
            if (sentQueries.remove(rowKey) != null) {
                onAnswer.accept(rowKey, Optional.empty());
            }
        }
    }
}
