package org.pollensill.coordinator;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class MemberTest {

    private static Member member(String region, double linkMbps) {
        return new Member(
                InetSocketAddress.createUnresolved("10.0.0.1", 1), region, linkMbps, Member.PROGRESS_IN_RANGES);
    }

    @Test
    void shouldSelectTheMemberOfTheRegionWithTheMostBandwidth() {
        Map<String, Member> members = Map.of(
                "a", member("east", 20), "b", member("east", 200), "c", member("east", 200), "d", member("west", 900));
        assertEquals(Optional.of("b"), Member.configReader(members, "east"));
    }

    @Test
    void shouldSelectNoneWhereTheRegionHasNoMember() {
        assertEquals(Optional.empty(), Member.configReader(Map.of("a", member("east", 20)), "west"));
    }
}
