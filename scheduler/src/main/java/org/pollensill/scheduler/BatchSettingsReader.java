package org.pollensill.scheduler;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.pollensill.batch.BatchSettings;
import org.pollensill.batch.ShardPath;
import org.pollensill.settings.BatchValues;
import org.pollensill.settings.Effective;
import org.pollensill.settings.TeamValues;
import org.pollensill.worker.Resources;

/** Turns the settings tree's values into those of one shard. */
final class BatchSettingsReader {

    private BatchSettingsReader() {}

    /**
     * Returns the settings of a shard.
     *
     * @param now the values in force
     * @param ahead the values after the headroom's lead
     * @param shard the shard's number
     */
    static BatchSettings read(Effective now, Effective ahead, int shard) {
        BatchValues values = now.batch();
        int share = Math.min(values.shareOfWorkerPercent(), ahead.batch().shareOfWorkerPercent());
        Map<String, BatchSettings.Team> teams = new HashMap<>();
        for (String name : now.teams()) {
            Optional<TeamValues> team = now.team(name);
            team.ifPresent(quota -> teams.put(name, team(quota, shard)));
        }
        return new BatchSettings(
                share,
                values.evictionsPerMinute(),
                values.throttlePercent(),
                values.releasePercent(),
                values.leaseMs(),
                values.renewIntervalMs(),
                BatchSettings.DEFAULTS.startWindowMs(),
                values.candidates(),
                teams);
    }

    /** A zone's quota is divided over its shards, since each is placed by another owner. */
    private static BatchSettings.Team team(TeamValues quota, int shard) {
        int turn = Math.floorMod(shard + quota.team().hashCode(), ShardPath.SHARDS);
        Resources part = new Resources(
                part(quota.processorsMillicores(), turn),
                part(quota.memoryBytes(), turn),
                part(quota.accelerators(), turn));
        return new BatchSettings.Team(part, Math.max(1, quota.weight()));
    }

    private static long part(long whole, int turn) {
        return whole / ShardPath.SHARDS + (turn < whole % ShardPath.SHARDS ? 1 : 0);
    }
}
