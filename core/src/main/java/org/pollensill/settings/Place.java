package org.pollensill.settings;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * The place whose values are requested: a zone, a region (empty zone) or the defaults (empty region and zone).
 *
 * @param region the region, may be empty
 * @param zone the availability zone, may be empty
 */
public record Place(String region, String zone) {

    /**
     * Creates a place.
     *
     * @throws NullPointerException if an argument is null
     * @throws IllegalArgumentException if there is a zone without a region
     */
    public Place {
        Objects.requireNonNull(region, "region is null");
        Objects.requireNonNull(zone, "zone is null");
        if (region.isEmpty() && !zone.isEmpty()) {
            throw new IllegalArgumentException("zone without region: " + zone);
        }
    }

    /**
     * Parses {@code REGION/ZONE}, {@code REGION} or {@code defaults}.
     *
     * @param text the place
     * @return the place, empty if the text has another form
     */
    public static Optional<Place> parse(String text) {
        Objects.requireNonNull(text, "text is null");
        if (text.equals("defaults")) {
            return Optional.of(new Place("", ""));
        }
        String[] parts = text.split("/", -1);
        boolean valid = parts.length <= 2;
        for (String part : parts) {
            valid &= SettingsPath.NAME.matcher(part).matches();
        }
        return valid ? Optional.of(new Place(parts[0], parts.length == 2 ? parts[1] : "")) : Optional.empty();
    }

    /** Returns the paths of the levels that apply here, from least to most specific. */
    List<SettingsPath> levels() {
        SettingsPath defaults = new SettingsPath(List.of("defaults"));
        if (region.isEmpty()) {
            return List.of(defaults);
        }
        SettingsPath inRegion = new SettingsPath(List.of("regions", region));
        if (zone.isEmpty()) {
            return List.of(defaults, inRegion);
        }
        return List.of(defaults, inRegion, new SettingsPath(List.of("regions", region, "zones", zone)));
    }

    @Override
    public String toString() {
        return region.isEmpty() ? "defaults" : zone.isEmpty() ? region : region + "/" + zone;
    }
}
