package org.pollensill.zone;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;

import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against an uneven distribution of slices and against unnecessary moves. */
class AssignmentTest {

    private static List<MemberId> members(int from, int to) {
        List<MemberId> members = new ArrayList<>();
        for (int i = from; i < to; i++) {
            members.add(ZoneDriver.id("m" + i));
        }
        return members;
    }

    private static List<MemberId> assign(List<Optional<MemberId>> owners, List<MemberId> members) {
        return Assignment.assign(owners, Collections.nCopies(owners.size(), true), members);
    }

    @Property(seed = "31", tries = 500, edgeCases = EdgeCasesMode.NONE)
    void shouldDifferByAtMostOneAndMoveOnlyRequiredSlices(
            @ForAll @IntRange(min = 1, max = 12) int before,
            @ForAll @IntRange(max = 11) int removed,
            @ForAll @IntRange(max = 4) int added,
            @ForAll @Size(min = 1, max = 80) List<Boolean> movable) {
        int slices = movable.size();
        List<MemberId> old = assign(Collections.nCopies(slices, Optional.empty()), members(0, before));
        List<MemberId> members = members(Math.min(removed, before - 1), before + added);
        List<MemberId> next = Assignment.assign(old.stream().map(Optional::of).toList(), movable, members);
        int base = slices / members.size();
        int forced = 0;
        for (MemberId member : members) {
            int count = Collections.frequency(next, member);
            assertTrue(count == base || count == base + 1, () -> member + " has " + count + " of " + slices);
            forced += Math.max(0, base - Collections.frequency(old, member));
        }
        int moved = 0;
        int lost = 0;
        for (int slice = 0; slice < slices; slice++) {
            moved += next.get(slice).equals(old.get(slice)) ? 0 : 1;
            lost += members.contains(old.get(slice)) ? 0 : 1;
        }
        // A member may lose one more slice if fewer members than before have the larger quota.
        int maxMoved = Math.max(forced, lost) + members.size();
        int count = moved;
        assertTrue(count <= maxMoved, () -> count + " slices moved, but at most " + maxMoved + " may move");
    }

    @Example
    void shouldMoveNothingWhenMembersAreUnchanged() {
        List<MemberId> owners = assign(Collections.nCopies(64, Optional.empty()), members(0, 7));
        assertEquals(owners, assign(owners.stream().map(Optional::of).toList(), members(0, 7)));
    }

    @Example
    void shouldRefuseEmptyListOfMembers() {
        assertThrows(IllegalArgumentException.class, () -> assign(List.of(Optional.empty()), List.of()));
    }
}
