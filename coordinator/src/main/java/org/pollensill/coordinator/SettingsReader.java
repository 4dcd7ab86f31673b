package org.pollensill.coordinator;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Predicate;

import org.pollensill.json.JsonObject;
import org.pollensill.runtime.net.AddressException;
import org.pollensill.runtime.net.Addresses;

/**
 * Reads the members of a settings file and collects their problems. A member that is missing, null, a blank text or an
 * empty list has no value. A list of one item stands for that item: a template writes a field of the platform in
 * brackets, so that the file stays valid JSON where the platform has no such field.
 */
final class SettingsReader {

    private final JsonObject object;
    private final List<String> problems = new ArrayList<>();

    /**
     * Creates a reader.
     *
     * @param object the content of the settings file
     * @throws NullPointerException if {@code object} is null
     */
    SettingsReader(JsonObject object) {
        this.object = Objects.requireNonNull(object, "object is null");
    }

    /** Returns the problems of all members that were read, in the order of the reads. */
    List<String> problems() {
        return problems;
    }

    /** Returns a text, empty if the member has no value. */
    Optional<String> text(String member) {
        Optional<Object> value = value(member);
        if (value.isEmpty()) {
            return Optional.empty();
        }
        if (value.get() instanceof String text) {
            return Optional.of(text);
        }
        problems.add(member + ": must be a text");
        return Optional.empty();
    }

    /** Returns a text that must have a value. */
    String requiredText(String member) {
        if (value(member).isEmpty()) {
            problems.add(member + ": a non-empty text is required");
        }
        return text(member).orElse("");
    }

    /** Returns an address, empty if the member has no value or is invalid. */
    Optional<InetSocketAddress> address(String member) {
        Optional<String> text = text(member);
        if (text.isEmpty()) {
            return Optional.empty();
        }
        try {
            return Optional.of(Addresses.parse(text.get()));
        } catch (AddressException e) {
            problems.add(member + ": " + e.getMessage());
            return Optional.empty();
        }
    }

    /** Returns an address that must have a value. */
    Optional<InetSocketAddress> requiredAddress(String member) {
        if (value(member).isEmpty()) {
            problems.add(member + ": an address is required");
        }
        return address(member);
    }

    /** Returns a whole number, empty if the member has no value or is invalid. */
    Optional<Long> integer(String member, long min) {
        return number(
                        member,
                        "a whole number of at least " + min,
                        number -> number >= min && number <= Long.MAX_VALUE && number == Math.rint(number))
                .map(Double::longValue);
    }

    /** Returns a number greater than 0, empty if the member has no value or is invalid. */
    Optional<Double> positive(String member) {
        return number(member, "a number greater than 0", number -> number > 0);
    }

    /** Returns a number of at least 1, empty if the member has no value or is invalid. */
    Optional<Double> factor(String member) {
        return number(member, "a number of at least 1", number -> number >= 1);
    }

    /** Returns a flag, false if the member has no value or is invalid. */
    boolean flag(String member) {
        Optional<Object> value = value(member);
        if (value.isEmpty()) {
            return false;
        }
        if (value.get() instanceof Boolean flag) {
            return flag;
        }
        problems.add(member + ": must be true or false");
        return false;
    }

    private Optional<Double> number(String member, String expectation, Predicate<Double> valid) {
        Optional<Object> value = value(member);
        if (value.isEmpty()) {
            return Optional.empty();
        }
        Optional<Double> number = value.filter(Number.class::isInstance)
                .map(found -> ((Number) found).doubleValue())
                .filter(valid);
        if (number.isEmpty()) {
            problems.add(member + ": must be " + expectation);
        }
        return number;
    }

    private Optional<Object> value(String member) {
        Object value = object.members().get(member);
        if (value instanceof List<?> items && items.size() <= 1) {
            value = items.isEmpty() ? null : items.get(0);
        }
        return Optional.ofNullable(value).filter(found -> !(found instanceof String text && text.isBlank()));
    }
}
