package org.pollensill.settings;

import java.time.DayOfWeek;
import java.time.Instant;
import java.time.LocalTime;
import java.time.ZoneId;
import java.util.EnumSet;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

/** Tests shifts across midnight and clock changes. */
class ShiftTest {

    private static Shift shift(String day, String from, String to) {
        Set<DayOfWeek> days = day.equals("all") ? EnumSet.allOf(DayOfWeek.class) : Set.of(ValueType.day(day));
        return new Shift("s", days, LocalTime.parse(from), LocalTime.parse(to));
    }

    /** Guards against shifts that begin or end at the wrong instant. New York 2026: 8 March, 1 November. */
    @ParameterizedTest
    @CsvSource({
        "mon, 07:30, 18:00, America/Sao_Paulo, 2026-12-07T10:29:59Z, false",
        "mon, 07:30, 18:00, America/Sao_Paulo, 2026-12-07T10:30:00Z, true",
        "mon, 07:30, 18:00, America/Sao_Paulo, 2026-12-07T21:00:00Z, false",
        "mon, 07:30, 18:00, America/Sao_Paulo, 2026-12-08T12:00:00Z, false",
        "fri, 22:00, 05:00, America/Guatemala, 2026-12-05T10:59:59Z, true",
        "fri, 22:00, 05:00, America/Guatemala, 2026-12-05T11:00:00Z, false",
        "fri, 22:00, 05:00, America/Guatemala, 2026-12-04T10:00:00Z, false",
        "sun, 06:00, 06:00, UTC, 2026-12-07T05:59:00Z, true",
        "sun, 06:00, 06:00, UTC, 2026-12-07T06:00:00Z, false",
        "sun, 02:30, 04:00, America/New_York, 2026-03-08T06:59:59Z, false",
        "sun, 02:30, 04:00, America/New_York, 2026-03-08T07:00:00Z, true",
        "sun, 02:10, 02:50, America/New_York, 2026-03-08T07:00:00Z, false",
        "sat, 22:00, 02:30, America/New_York, 2026-03-08T06:59:59Z, true",
        "sat, 22:00, 02:30, America/New_York, 2026-03-08T07:00:00Z, false",
        "sun, 01:30, 03:00, America/New_York, 2026-11-01T05:29:59Z, false",
        "sun, 01:30, 03:00, America/New_York, 2026-11-01T05:30:00Z, true",
        "sun, 01:30, 03:00, America/New_York, 2026-11-01T06:15:00Z, true",
        "sun, 01:30, 03:00, America/New_York, 2026-11-01T08:00:00Z, false",
        "sat, 22:00, 01:30, America/New_York, 2026-11-01T05:30:00Z, false",
        "sat, 22:00, 01:30, America/New_York, 2026-11-01T06:29:00Z, false",
    })
    void shouldBeActiveFromBeginToEnd(String day, String from, String to, String zone, String at, boolean active) {
        long nowMs = Instant.parse(at).toEpochMilli();
        assertEquals(active, shift(day, from, to).isActive(ZoneId.of(zone), nowMs));
    }

    /** Guards against a process that misses a change because the next check is announced too late. */
    @Property(tries = 300, seed = "4101")
    void shouldNotChangeBeforeTheAnnouncedInstant(
            @ForAll @IntRange(min = 0, max = 1439) int fromMinute,
            @ForAll @IntRange(min = 0, max = 1439) int toMinute,
            @ForAll @IntRange(min = 0, max = 1_000_000) int at) {
        Shift shift = new Shift(
                "s",
                Set.of(DayOfWeek.SUNDAY, DayOfWeek.WEDNESDAY),
                LocalTime.ofSecondOfDay(fromMinute * 60L),
                LocalTime.ofSecondOfDay(toMinute * 60L));
        ZoneId zone = ZoneId.of("America/New_York");
        long nowMs = Instant.parse("2026-01-01T00:00:00Z").toEpochMilli() + at * 31_000L;
        long next = shift.nextChangeMs(zone, nowMs);
        boolean active = shift.isActive(zone, nowMs);
        for (int step = 0; step < 50; step++) {
            long between = nowMs + (next - 1 - nowMs) / 50 * step;
            assertEquals(active, shift.isActive(zone, between), "changed before " + next + " at " + between);
        }
    }

    /** Guards against consecutive shifts that overlap, or leave a gap, when clocks change. */
    @Property(tries = 300, seed = "4102")
    void shouldNeverOverlapWhenOneFollowsTheOther(
            @ForAll @IntRange(min = 1, max = 179) int boundaryMinute,
            @ForAll @IntRange(min = 0, max = 239) int minute) {
        LocalTime boundary = LocalTime.ofSecondOfDay(boundaryMinute * 60L);
        Shift before = new Shift("b", EnumSet.allOf(DayOfWeek.class), LocalTime.of(0, 0), boundary);
        Shift after = new Shift("a", EnumSet.allOf(DayOfWeek.class), boundary, LocalTime.of(3, 0));
        ZoneId zone = ZoneId.of("America/New_York");
        for (String day : new String[] {"2026-03-08T05:00:00Z", "2026-11-01T04:00:00Z"}) {
            long nowMs = Instant.parse(day).toEpochMilli() + minute * 60_000L;
            assertFalse(before.isActive(zone, nowMs) && after.isActive(zone, nowMs), "both are active at " + nowMs);
        }
    }
}
