package org.pollensill.runtime.burn;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BiFunction;

import org.pollensill.burn.BurnKey;
import org.pollensill.burn.BurnObjective;
import org.pollensill.contract.KindContract;
import org.pollensill.settings.Effective;
import org.pollensill.settings.Place;
import org.pollensill.settings.SettingsSnapshot;

/** Resolves the objective of a kind in a zone; over all zones, that of the defaults or else of the first zone. */
final class BurnObjectives implements BiFunction<BurnKey, String, BurnObjective> {

    private final Optional<SettingsSnapshot> settings;
    private final long nowMs;
    private final List<Place> places;
    private final Map<Place, Effective> effectiveByPlace = new HashMap<>();

    BurnObjectives(Optional<SettingsSnapshot> settings, long nowMs) {
        this.settings = Objects.requireNonNull(settings, "settings is null");
        this.nowMs = nowMs;
        this.places = settings.map(state -> state.tree().places()).orElse(List.of());
    }

    @Override
    public BurnObjective apply(BurnKey key, String zone) {
        if (zone.isEmpty()) {
            return objectiveAt(new Place("", ""), key)
                    .or(() -> places.stream()
                            .flatMap(place -> objectiveAt(place, key).stream())
                            .findFirst())
                    .orElse(BurnObjective.DEFAULT);
        }
        return places.stream()
                .filter(place -> place.zone().equals(zone))
                .findFirst()
                .or(() -> Optional.of(new Place("", "")))
                .flatMap(place -> objectiveAt(place, key))
                .orElse(BurnObjective.DEFAULT);
    }

    private Optional<BurnObjective> objectiveAt(Place place, BurnKey key) {
        if (settings.isEmpty()) {
            return Optional.empty();
        }
        Effective effective = effectiveByPlace.computeIfAbsent(
                place, each -> settings.get().tree().effective(each, nowMs));
        Optional<KindContract> contract = effective.service(key.service()).flatMap(service -> service.kind(key.kind()));
        return contract.map(kind -> new BurnObjective(kind.objective(), kind.latencyBoundMs(), kind.windowDays()));
    }
}
