package org.pollensill.coordinator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import org.pollensill.json.JsonObject;
import org.pollensill.json.JsonSyntaxException;
import org.pollensill.json.JsonText;
import org.pollensill.platform.Commit;
import org.pollensill.platform.Row;
import org.pollensill.platform.RowStore;
import org.pollensill.platform.Write;
import org.pollensill.runtime.event.EventLog;
import org.pollensill.runtime.net.AddressException;
import org.pollensill.runtime.net.Addresses;

/** Directory of coordinators in the store: each one periodically writes its own row and reads all others. */
final class MemberDirectory {

    private static final EventLog LOG = EventLog.of(MemberDirectory.class);
    private static final String TABLE = "members@all";
    private static final int PAGE_ROWS = 500;
    private static final long REFRESH_INTERVAL_MS = 4_000;
    private static final long RETRY_DELAY_MS = 500;

    /** Number of refreshes without a change after which a row is stale and its machine counts as gone. */
    private static final int REFRESHES_UNTIL_STALE = 4;

    private final CoordinatorLoop loop;
    private final RowStore store;
    private final StoreHealth health;
    private final CoordinatorSettings settings;
    private final Consumer<Map<String, Member>> listener;
    private final Map<String, Long> lastVersions = new HashMap<>();
    private final Map<String, Integer> unchangedRefreshes = new HashMap<>();
    private long writeCount;
    private boolean stopped;

    MemberDirectory(
            CoordinatorLoop loop,
            RowStore store,
            StoreHealth health,
            CoordinatorSettings settings,
            Consumer<Map<String, Member>> listener) {
        this.loop = loop;
        this.store = store;
        this.health = health;
        this.settings = settings;
        this.listener = listener;
    }

    void start() {
        refresh();
    }

    void stop() {
        stopped = true;
    }

    private void refresh() {
        if (stopped) {
            return;
        }
        String ownRow = JsonText.object(json -> {
            json.writeStringField("zone", settings.zone());
            json.writeStringField("region", settings.region());
            json.writeNumberField("linkMbps", settings.linkMbps());
            json.writeStringField("peerAddress", Addresses.format(settings.peerAddress()));
            json.writeNumberField("progressFormat", Member.ENDED_JOBS_REDUCED);
            json.writeNumberField("refresh", writeCount);
        });
        writeCount++;
        Commit commit = new Commit(
                settings.name() + "-" + writeCount,
                List.of(),
                List.of(Write.put(TABLE + "/" + settings.name(), ownRow)));
        health.track(store.commit(commit))
                .thenCompose(done -> health.track(store.page(TABLE, "", PAGE_ROWS)))
                .whenComplete((page, failure) -> {
                    if (failure != null) {
                        loop.schedule(RETRY_DELAY_MS, this::refresh);
                        return;
                    }
                    loop.schedule(REFRESH_INTERVAL_MS, this::refresh);
                    loop.execute(() -> listener.accept(selectLive(page.rows())));
                });
    }

    private Map<String, Member> selectLive(List<Row> rows) {
        Map<String, Member> members = new HashMap<>();
        Set<String> listedNames = new HashSet<>();
        List<Write> deletions = new ArrayList<>();
        for (Row row : rows) {
            String name = row.key().substring(TABLE.length() + 1);
            listedNames.add(name);
            Long lastVersion = lastVersions.put(name, row.version());
            int unchangedCount = lastVersion != null && lastVersion == row.version()
                    ? unchangedRefreshes.merge(name, 1, Integer::sum)
                    : 0;
            if (unchangedCount == 0) {
                unchangedRefreshes.put(name, 0);
            }
            if (unchangedCount >= REFRESHES_UNTIL_STALE) {
                deletions.add(Write.delete(row.key()));
            } else {
                parse(row).ifPresent(member -> members.put(name, member));
            }
        }
        lastVersions.keySet().retainAll(listedNames);
        unchangedRefreshes.keySet().retainAll(listedNames);
        if (!deletions.isEmpty()) {
            // Best-effort: a member that is still running writes its row again.
            health.track(store.commit(new Commit(settings.name() + "-stale-" + writeCount, List.of(), deletions)));
        }
        return members;
    }

    private static Optional<Member> parse(Row row) {
        try {
            JsonObject object = JsonObject.parse(row.value());
            Optional<String> address = object.text("peerAddress");
            if (address.isEmpty()) {
                return Optional.empty();
            }
            return Optional.of(new Member(
                    Addresses.parse(address.get()),
                    object.text("region").orElse(""),
                    object.number("linkMbps").orElse(0.0),
                    object.integer("progressFormat")
                            .orElse((long) Member.PROGRESS_IN_ONE_ROW)
                            .intValue()));
        } catch (JsonSyntaxException | AddressException e) {
            LOG.log(CoordinatorEvent.ROW_UNREADABLE, "key", row.key(), "problem", e.getMessage());
            return Optional.empty();
        }
    }
}
