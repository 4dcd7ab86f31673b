package org.pollensill.bench.measure;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.UUID;

/** Commits a settings tree to a new fleet through the admin listener of one daemon. */
final class SettingsLoader {

    private static final long TIMEOUT_MS = 30_000;
    private static final long RETRY_INTERVAL_MS = 200;

    private final JsonHttpClient adminClient;

    SettingsLoader(String adminAddress, String token) {
        this.adminClient = new JsonHttpClient(Objects.requireNonNull(adminAddress, "adminAddress is null"), token);
    }

    /** Sets the top-level keys of a tree; retries the change with the same change id until the fleet accepts it. */
    void load(Map<String, Object> tree) throws IOException, InterruptedException {
        List<Map<String, Object>> edits = new ArrayList<>();
        tree.forEach((path, value) -> edits.add(Map.of("path", path, "value", value)));
        Map<String, Object> change = Map.of(
                "changeId", UUID.randomUUID().toString(), "reason", "measurement", "baseRevision", 0, "edits", edits);
        long deadlineNs = System.nanoTime() + TIMEOUT_MS * 1_000_000;
        while (true) {
            try {
                adminClient.post("/settings/changes", change);
                return;
            } catch (IOException e) {
                if (System.nanoTime() > deadlineNs) {
                    throw e;
                }
                Thread.sleep(RETRY_INTERVAL_MS);
            }
        }
    }
}
