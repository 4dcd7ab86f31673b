package org.pollensill.coordinator;

import java.net.InetSocketAddress;
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

/** Directory of the coordinators in the store: each one writes its own row and reads the others' now and then. */
final class Members {

    private static final EventLog LOG = EventLog.of(Members.class);
    private static final String TABLE = "members@all";
    private static final int PAGE = 500;
    private static final long REFRESH_MS = 4_000;
    private static final long RETRY_MS = 500;

    /** Rows that did not change over this many refreshes belong to machines that are gone. */
    private static final int STALE_REFRESHES = 4;

    private final Loop loop;
    private final RowStore store;
    private final StoreHealth health;
    private final CoordinatorSettings settings;
    private final Consumer<Map<String, InetSocketAddress>> listener;
    private final Map<String, Long> versions = new HashMap<>();
    private final Map<String, Integer> unchanged = new HashMap<>();
    private long writes;
    private boolean stopped;

    Members(
            Loop loop,
            RowStore store,
            StoreHealth health,
            CoordinatorSettings settings,
            Consumer<Map<String, InetSocketAddress>> listener) {
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
        String own = JsonText.object(json -> {
            json.writeStringField("zone", settings.zone());
            json.writeStringField("peerAddress", Addresses.format(settings.peerAddress()));
            json.writeNumberField("refresh", writes);
        });
        writes++;
        Commit commit = new Commit(
                settings.name() + "-" + writes, List.of(), List.of(Write.put(TABLE + "/" + settings.name(), own)));
        health.watch(store.commit(commit))
                .thenCompose(done -> health.watch(store.page(TABLE, "", PAGE)))
                .whenComplete((page, failure) -> {
                    if (failure != null) {
                        loop.after(RETRY_MS, this::refresh);
                        return;
                    }
                    listener.accept(live(page.rows()));
                    loop.after(REFRESH_MS, this::refresh);
                });
    }

    private Map<String, InetSocketAddress> live(List<Row> rows) {
        Map<String, InetSocketAddress> members = new HashMap<>();
        Set<String> seen = new HashSet<>();
        List<Write> stale = new ArrayList<>();
        for (Row row : rows) {
            String name = row.key().substring(TABLE.length() + 1);
            seen.add(name);
            Long before = versions.put(name, row.version());
            int still = before != null && before == row.version() ? unchanged.merge(name, 1, Integer::sum) : 0;
            if (still == 0) {
                unchanged.put(name, 0);
            }
            if (still >= STALE_REFRESHES) {
                stale.add(Write.delete(row.key()));
            } else if (!name.equals(settings.name())) {
                address(row).ifPresent(address -> members.put(name, address));
            }
        }
        versions.keySet().retainAll(seen);
        unchanged.keySet().retainAll(seen);
        if (!stale.isEmpty()) {
            // A member that still lives writes its row again; nothing depends on this delete.
            health.watch(store.commit(new Commit(settings.name() + "-stale-" + writes, List.of(), stale)));
        }
        return members;
    }

    private static Optional<InetSocketAddress> address(Row row) {
        try {
            Optional<String> text = JsonObject.parse(row.value()).text("peerAddress");
            return text.isEmpty() ? Optional.empty() : Optional.of(Addresses.parse(text.get()));
        } catch (JsonSyntaxException | AddressException e) {
            LOG.log(CoordinatorEvent.ROW_UNREADABLE, "key", row.key(), "problem", e.getMessage());
            return Optional.empty();
        }
    }
}
