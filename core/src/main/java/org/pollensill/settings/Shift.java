package org.pollensill.settings;

import java.time.DayOfWeek;
import java.time.Instant;
import java.time.LocalDate;
import java.time.LocalDateTime;
import java.time.LocalTime;
import java.time.ZoneId;
import java.time.zone.ZoneOffsetTransition;
import java.util.Objects;
import java.util.Set;

/**
 * A recurring period of local time. It is active from {@code from} to {@code to}; if {@code to} is not after
 * {@code from}, it ends on the following day.
 *
 * @param name the shift's name
 * @param days the days on which it begins
 * @param from the local time at which it begins
 * @param to the local time at which it ends
 */
record Shift(String name, Set<DayOfWeek> days, LocalTime from, LocalTime to) {

    static final int WEEK_MINUTES = 7 * 24 * 60;
    private static final int DAY_MINUTES = 24 * 60;

    /** Creates a shift. */
    Shift {
        Objects.requireNonNull(name, "name is null");
        days = Set.copyOf(Objects.requireNonNull(days, "days is null"));
        Objects.requireNonNull(from, "from is null");
        Objects.requireNonNull(to, "to is null");
    }

    /** Returns whether the shift is active at an instant. */
    boolean isActive(ZoneId zone, long nowMs) {
        LocalDate today = Instant.ofEpochMilli(nowMs).atZone(zone).toLocalDate();
        // A shift lasts at most 24 h of local time and a clock change moves it by hours, so an active one began today
        // or on one of the two days before.
        for (int daysAgo = 0; daysAgo <= 2; daysAgo++) {
            LocalDate day = today.minusDays(daysAgo);
            if (days.contains(day.getDayOfWeek()) && beginMs(day, zone) <= nowMs && nowMs < endMs(day, zone)) {
                return true;
            }
        }
        return false;
    }

    /** Returns the first instant after {@code nowMs} at which the shift begins or ends. */
    long nextChangeMs(ZoneId zone, long nowMs) {
        LocalDate today = Instant.ofEpochMilli(nowMs).atZone(zone).toLocalDate();
        long next = Long.MAX_VALUE;
        for (int dayOffset = -2; dayOffset <= 8; dayOffset++) {
            LocalDate day = today.plusDays(dayOffset);
            if (!days.contains(day.getDayOfWeek())) {
                continue;
            }
            long begin = beginMs(day, zone);
            long end = endMs(day, zone);
            next = begin > nowMs ? Math.min(next, begin) : next;
            next = end > nowMs ? Math.min(next, end) : next;
        }
        return next;
    }

    /** Returns whether the shift is active at a minute of the week, counted from Monday 00:00. */
    boolean isActiveAtMinute(int minuteOfWeek) {
        for (DayOfWeek day : days) {
            int minutesSinceBegin = Math.floorMod(minuteOfWeek - beginMinute(day), WEEK_MINUTES);
            if (minutesSinceBegin < lengthMinutes()) {
                return true;
            }
        }
        return false;
    }

    /** Returns the minute of the week at which the shift begins on a day. */
    int beginMinute(DayOfWeek day) {
        return (day.getValue() - 1) * DAY_MINUTES + from.toSecondOfDay() / 60;
    }

    /** Returns the duration of the shift. */
    int lengthMinutes() {
        int minutes = (to.toSecondOfDay() - from.toSecondOfDay()) / 60;
        return minutes > 0 ? minutes : minutes + DAY_MINUTES;
    }

    private long beginMs(LocalDate day, ZoneId zone) {
        return instantMs(day.atTime(from), zone);
    }

    private long endMs(LocalDate day, ZoneId zone) {
        return instantMs((to.isAfter(from) ? day : day.plusDays(1)).atTime(to), zone);
    }

    /**
     * Converts local time to an instant: the first one in an overlap, and the end of the gap for a skipped time. Begin
     * and end use the same rule, so that consecutive shifts neither overlap nor leave a gap.
     */
    private static long instantMs(LocalDateTime local, ZoneId zone) {
        ZoneOffsetTransition transition = zone.getRules().getTransition(local);
        if (transition != null && transition.isGap()) {
            return transition.getInstant().toEpochMilli();
        }
        return local.atZone(zone).withEarlierOffsetAtOverlap().toInstant().toEpochMilli();
    }
}
