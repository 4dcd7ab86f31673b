package org.pollensill.bench.measure;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.pollensill.batch.PlacementPolicy;
import org.pollensill.batch.PlacementRequest;
import org.pollensill.batch.WorkerPool;
import org.pollensill.settings.Edit;
import org.pollensill.settings.InvalidSettingsException;
import org.pollensill.settings.Place;
import org.pollensill.settings.SettingsPath;
import org.pollensill.settings.SettingsTree;
import org.pollensill.worker.Interference;
import org.pollensill.worker.Resources;
import org.pollensill.worker.Worker;
import org.pollensill.zone.Assignment;
import org.pollensill.zone.MemberId;

/** Operations of slice assignment, settings and placement. */
final class FleetOperations {

    private static final int SLICES = 64;

    private FleetOperations() {}

    /** Returns an operation that reassigns all slices after the loss of one member. */
    static Runnable assignSlices(int memberCount) {
        List<MemberId> members = new ArrayList<>();
        for (int i = 0; i < memberCount; i++) {
            members.add(new MemberId("e" + i, "127.0.0.1:" + (9000 + i), "i" + i));
        }
        List<Boolean> movable = Collections.nCopies(SLICES, Boolean.TRUE);
        List<Optional<MemberId>> owners =
                Assignment.assign(Collections.nCopies(SLICES, Optional.empty()), movable, members).stream()
                        .map(Optional::of)
                        .toList();
        List<MemberId> remaining = members.subList(1, memberCount);
        return () -> Assignment.assign(owners, movable, remaining);
    }

    /** Returns an operation that changes the quota of one team. */
    static Runnable changeSettings(int teams) {
        SettingsTree tree = settingsTree(teams);
        return () -> {
            try {
                tree.apply(List.of(Edit.set(SettingsPath.parse("defaults.teams.t1.processorsMillicores"), "7000")));
            } catch (InvalidSettingsException e) {
                throw new IllegalStateException("the generated change must be valid", e);
            }
        };
    }

    /** Returns an operation that resolves the effective settings of one zone. */
    static Runnable effectiveSettings(int teams) {
        SettingsTree tree = settingsTree(teams);
        Place place = new Place("serra", "caxias");
        return () -> tree.effective(place, 0).service("balcao-reparo");
    }

    private static SettingsTree settingsTree(int teams) {
        StringBuilder json = new StringBuilder("{\"defaults\":{\"services\":{\"balcao-reparo\":{\"kinds\":{"
                + "\"seam-check\":{\"urgency\":0,\"guaranteedShare\":0.4}}}},\"teams\":{");
        for (int i = 0; i < teams; i++) {
            json.append(i == 0 ? "" : ",").append("\"t").append(i).append("\":{\"processorsMillicores\":5000}");
        }
        try {
            return SettingsTree.parse(json.append("}}}").toString());
        } catch (InvalidSettingsException e) {
            throw new IllegalStateException("the generated tree must be valid", e);
        }
    }

    /** Returns an operation that chooses a worker for one task while two thirds of the workers are full. */
    static Runnable placeTask(int workers) {
        WorkerPool pool = WorkerPool.empty();
        for (int i = 0; i < workers; i++) {
            Worker worker = Worker.of(
                    "w" + i, "127.0.0.1:" + (1 + i % 60_000), "k" + i / 8, new Resources(16_000, 1L << 36, 0));
            worker.updateClock(1, 1, 0);
            pool.add(worker);
            worker.capacity().tryAllocate("held", new Resources(i % 3 == 0 ? 0 : 15_500, 1 << 20, 0));
        }
        PlacementPolicy policy = PlacementPolicy.sampling(8, Interference.empty());
        PlacementRequest request =
                new PlacementRequest("j", "patch", new Resources(1_000, 1 << 20, 0), false, Set.of(), 1);
        Random random = new Random(1);
        return () -> policy.choose(request, pool, random);
    }
}
