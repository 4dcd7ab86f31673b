package org.pollensill.settings;

import java.time.DateTimeException;
import java.time.DayOfWeek;
import java.time.LocalTime;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;

/** Type of a setting: validates JSON and converts it to a value. */
public final class ValueType {

    private static final List<String> DAY_NAMES = List.of("mon", "tue", "wed", "thu", "fri", "sat", "sun");

    private final String expected;
    private final Function<JsonNode, Optional<Object>> parser;

    private ValueType(String expected, Function<JsonNode, Optional<Object>> parser) {
        this.expected = expected;
        this.parser = parser;
    }

    /** Returns the type of integers in a closed range. */
    static ValueType integer(long min, long max) {
        return new ValueType("whole number from " + min + " to " + max, json -> {
            boolean valid = json.isIntegralNumber()
                    && json.canConvertToLong()
                    && json.longValue() >= min
                    && json.longValue() <= max;
            return valid ? Optional.of(json.longValue()) : Optional.empty();
        });
    }

    /** Returns the type of shares from 0 to 1. */
    static ValueType share() {
        return new ValueType("number from 0 to 1", json -> {
            boolean valid = json.isNumber() && json.doubleValue() >= 0 && json.doubleValue() <= 1;
            return valid ? Optional.of(json.doubleValue()) : Optional.empty();
        });
    }

    /** Returns the type of objectives, which exclude 0 and 1 because neither leaves an error budget to divide by. */
    static ValueType objective() {
        return new ValueType("number above 0 and below 1", json -> {
            boolean valid = json.isNumber() && json.doubleValue() > 0 && json.doubleValue() < 1;
            return valid ? Optional.of(json.doubleValue()) : Optional.empty();
        });
    }

    /** Returns the type of booleans. */
    static ValueType bool() {
        return new ValueType(
                "true or false", json -> json.isBoolean() ? Optional.of(json.booleanValue()) : Optional.empty());
    }

    /** Returns the type of time zones. */
    static ValueType timeZone() {
        return new ValueType("IANA time zone name", json -> {
            boolean known = json.isTextual() && ZoneId.getAvailableZoneIds().contains(json.textValue());
            return known ? Optional.of(json.textValue()) : Optional.empty();
        });
    }

    /** Returns the type of local times of day. */
    static ValueType localTime() {
        return new ValueType("local time HH:MM", json -> {
            try {
                return json.isTextual() && json.textValue().length() == 5
                        ? Optional.of(LocalTime.parse(json.textValue()).toString())
                        : Optional.empty();
            } catch (DateTimeException e) {
                return Optional.empty();
            }
        });
    }

    /** Returns the type of lists of days. */
    static ValueType days() {
        return new ValueType("list of days out of " + String.join(", ", DAY_NAMES), json -> {
            List<String> days = new ArrayList<>();
            for (JsonNode day : json) {
                if (!day.isTextual() || !DAY_NAMES.contains(day.textValue()) || days.contains(day.textValue())) {
                    return Optional.empty();
                }
                days.add(day.textValue());
            }
            return json.isArray() && !days.isEmpty() ? Optional.of(List.copyOf(days)) : Optional.empty();
        });
    }

    /** Returns the day of a valid day name. */
    static DayOfWeek day(String name) {
        return DayOfWeek.of(DAY_NAMES.indexOf(name) + 1);
    }

    /** Returns the name of a day. */
    static String dayName(DayOfWeek day) {
        return DAY_NAMES.get(day.getValue() - 1);
    }

    /**
     * Validates and converts a value.
     *
     * @param json the value as JSON
     * @return the value, empty if its type or range is wrong
     */
    Optional<Object> read(JsonNode json) {
        return parser.apply(json);
    }

    /**
     * Returns a description of the type and range.
     *
     * @return a phrase such as "whole number from 1 to 100"
     */
    public String expected() {
        return expected;
    }
}
