package org.pollensill.bench.settings;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

import org.pollensill.error.PollensillException;
import org.pollensill.settings.Edit;
import org.pollensill.settings.Effective;
import org.pollensill.settings.Place;
import org.pollensill.settings.SettingsPath;
import org.pollensill.settings.SettingsTree;

/**
 * Measures operations of the settings tree for several numbers of services, with 13 zones, 630 teams, two shifts and
 * overrides for a tenth of the services in each zone. Prints one line per number of services.
 */
public final class SettingsScale {

    private static final int ZONES = 13;
    private static final int REGIONS = 5;
    private static final int TEAMS = 630;
    private static final int TREE_COPIES = 8;
    private static final int MEASURED_ROUNDS = 2_000;
    private static final int WARM_UP_ROUNDS = 500;
    private static final long NOW_MS = 1_796_679_000_000L;

    private SettingsScale() {}

    /**
     * Runs the measurement.
     *
     * @param arguments numbers of services; 100, 500, 2000 and 5000 by default
     * @throws PollensillException if a generated tree is refused
     */
    public static void main(String[] arguments) throws PollensillException {
        int[] sizes = arguments.length == 0
                ? new int[] {100, 500, 2_000, 5_000}
                : Arrays.stream(arguments).mapToInt(Integer::parseInt).toArray();
        measure(100);
        System.out.println(
                "services  json KB  heap KB  parse+check ms  change us  committed us  place us  contract us");
        for (int size : sizes) {
            System.out.println(measure(size));
        }
    }

    private static String measure(int services) throws PollensillException {
        String text = treeJson(services);
        long heapBeforeBytes = usedHeapBytes();
        long startNs = System.nanoTime();
        SettingsTree tree = SettingsTree.parse(text);
        double parseMs = (System.nanoTime() - startNs) / 1e6;
        // Averages over several equal trees, because one tree is small compared with the heap use of the JVM itself.
        List<SettingsTree> copies = new ArrayList<>(List.of(tree));
        while (copies.size() < TREE_COPIES) {
            copies.add(SettingsTree.parse(text));
        }
        long heapBytes = (usedHeapBytes() - heapBeforeBytes) / copies.size();
        copies.clear();
        Random random = new Random(4201);
        List<Double> changeUs = new ArrayList<>();
        List<Double> committedUs = new ArrayList<>();
        List<Double> effectiveUs = new ArrayList<>();
        List<Double> contractUs = new ArrayList<>();
        for (int round = 0; round < MEASURED_ROUNDS + WARM_UP_ROUNDS; round++) {
            String service = "service-" + random.nextInt(services);
            List<Edit> edits = List.of(Edit.set(
                    SettingsPath.parse(
                            "regions.region-1.zones.zone-1.services." + service + ".kinds.urgent.queueLimit"),
                    Integer.toString(random.nextInt(1_000))));
            long changeStartNs = System.nanoTime();
            SettingsTree changed = tree.apply(edits).tree();
            long changeEndNs = System.nanoTime();
            tree.applyCommitted(edits);
            long committedEndNs = System.nanoTime();
            Effective effective = changed.effective(new Place("region-1", "zone-1"), NOW_MS);
            long effectiveEndNs = System.nanoTime();
            effective.service(service).orElseThrow();
            long contractEndNs = System.nanoTime();
            if (round >= WARM_UP_ROUNDS) {
                changeUs.add((changeEndNs - changeStartNs) / 1e3);
                committedUs.add((committedEndNs - changeEndNs) / 1e3);
                effectiveUs.add((effectiveEndNs - committedEndNs) / 1e3);
                contractUs.add((contractEndNs - effectiveEndNs) / 1e3);
            }
            tree = changed;
        }
        return String.format(
                "%8d %8d %8d %15.0f %10.0f %13.1f %9.1f %12.1f",
                services,
                text.length() / 1024,
                heapBytes / 1024,
                parseMs,
                median(changeUs),
                median(committedUs),
                median(effectiveUs),
                median(contractUs));
    }

    private static double median(List<Double> values) {
        return values.stream().sorted().skip(values.size() / 2).findFirst().orElseThrow();
    }

    private static long usedHeapBytes() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    private static String treeJson(int services) {
        StringBuilder json = new StringBuilder("{\"defaults\":{\"services\":{");
        for (int i = 0; i < services; i++) {
            json.append(i == 0 ? "" : ",")
                    .append("\"service-")
                    .append(i)
                    .append("\":{\"deadlineMs\":2000,\"kinds\":{")
                    .append("\"urgent\":{\"urgency\":0,\"guaranteedShare\":0.4,\"queueLimit\":200,")
                    .append("\"executionBoundMs\":1000,\"objective\":0.999,\"latencyBoundMs\":250},")
                    .append("\"usual\":{\"urgency\":1,\"guaranteedShare\":0.2,\"cap\":0.7,\"idempotent\":true},")
                    .append("\"long\":{\"urgency\":5,\"cap\":0.5,\"deadlineMs\":60000,\"slotsPerUpstreamCap\":3}}}");
        }
        json.append("},\"shifts\":{\"counter\":{\"from\":\"07:30\",\"to\":\"18:00\",\"batch\":{\"candidates\":4}},")
                .append("\"night\":{\"from\":\"22:00\",\"to\":\"05:00\",\"batch\":{\"candidates\":16}}},\"teams\":{");
        for (int i = 0; i < TEAMS; i++) {
            json.append(i == 0 ? "" : ",")
                    .append("\"team-")
                    .append(i)
                    .append("\":{\"processorsMillicores\":64000,\"memoryBytes\":137438953472,\"weight\":2}");
        }
        json.append("}},\"regions\":{");
        for (int region = 0; region < REGIONS; region++) {
            json.append(region == 0 ? "" : ",")
                    .append("\"region-")
                    .append(region)
                    .append("\":{\"zones\":{");
            String separator = "";
            for (int zone = region; zone < ZONES; zone += REGIONS) {
                json.append(separator).append("\"zone-").append(zone).append("\":{\"services\":{");
                separator = ",";
                for (int i = zone % 10; i < services; i += 10) {
                    json.append(i == zone % 10 ? "" : ",")
                            .append("\"service-")
                            .append(i)
                            .append("\":{\"kinds\":{\"urgent\":{\"cap\":0.9}}}");
                }
                json.append("}}");
            }
            json.append("}}");
        }
        return json.append("}}").toString();
    }
}
