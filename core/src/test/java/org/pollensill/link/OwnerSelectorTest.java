package org.pollensill.link;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.pollensill.link.OwnerLoad.Place;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against requests that leave the zone needlessly, or stay where the deadline cannot be met. */
class OwnerSelectorTest {

    private static final long MS = 1_000_000;

    /** Network delays of the reference deployment, the Secretaria: 1 ms between zones and 8 ms between regions. */
    private static OwnerLoad owner(String name, Place place, long oneWayMs, String load) {
        String[] fields = load.split("/");
        return new OwnerLoad(
                name,
                place,
                "balcao-reparo",
                "seam-check",
                Integer.parseInt(fields[0]),
                Long.parseLong(fields[1]) * MS,
                oneWayMs * MS,
                Long.parseLong(fields[2]) * MS);
    }

    /** Loads are free slots / queue wait in ms / age of the report in ms; "-" omits the owner. */
    @ParameterizedTest
    @CsvSource({
        "5/0/10, 0/50/10, 9/0/10, 9/0/10, 100, true, a",
        "0/50/10, 3/0/10, 9/0/10, 9/0/10, 100, true, b",
        "0/50/10, 0/60/10, 9/0/10, 9/0/10, 100, true, region",
        "0/50/10, 0/60/10, 0/70/10, 9/0/10, 100, true, a",
        "0/500/10, 0/600/10, 0/700/10, 9/0/10, 100, true, far",
        "0/500/10, 0/600/10, 0/700/10, 9/0/10, 100, false, a",
        "0/500/10, 0/600/10, 0/700/10, 0/90/10, 100, true, a",
        "9/0/1500, 0/50/10, 0/70/10, 9/0/10, 100, true, b",
        "0/500/10, 0/600/10, 9/0/1500, 9/0/1500, 100, true, a",
        "-, -, 9/0/10, 9/0/10, 100, true, region",
        "-, -, -, 9/0/10, 100, true, far",
        "-, -, -, -, 100, true, none",
    })
    void shouldSelectTheNearestPlaceThatMeetsTheDeadline(
            String a, String b, String region, String far, long remainingMs, boolean linkHasCapacity, String expected) {
        List<OwnerLoad> owners = new ArrayList<>();
        add(owners, "a", Place.ZONE, 0, a);
        add(owners, "b", Place.ZONE, 0, b);
        add(owners, "region", Place.REGION, 1, region);
        add(owners, "far", Place.OTHER_REGION, 8, far);
        String chosen = OwnerSelector.nearestWithinDeadline()
                .choose(new OwnerSelector.Request(remainingMs * MS, 20 * MS, linkHasCapacity), owners, new Random(3))
                .map(OwnerLoad::owner)
                .orElse("none");
        assertEquals(expected, chosen);
    }

    private static void add(List<OwnerLoad> owners, String name, Place place, long oneWayMs, String load) {
        if (!load.equals("-")) {
            owners.add(owner(name, place, oneWayMs, load));
        }
    }
}
