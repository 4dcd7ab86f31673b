package org.pollensill.settings;

import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.pollensill.contract.KindContract;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests validation, inheritance between levels, and edits. */
class SettingsTreeTest {

    static final String SERRA = """
            {
              // Values of the Secretaria.
              "defaults": {
                "timeZone": "America/Sao_Paulo",
                "batch": {"leaseMs": 20000},
                "services": {"balcao-reparo": {"deadlineMs": 2000, "kinds": {
                  "seam-check": {"urgency": 0, "guaranteedShare": 0.5, "deadlineMs": 400},
                  "mildew-watch": {"urgency": 3, "guaranteedShare": 0.1, "cap": 0.5, "idempotent": true}}}},
                "shifts": {"counter": {"days": ["mon", "tue"], "from": "07:30", "to": "18:00",
                  "services": {"balcao-reparo": {"kinds": {"seam-check": {"guaranteedShare": 0.7}}}}}},
                "teams": {"lonas": {"processorsMillicores": 64000, "weight": 3}},
                "links": {"serra": {"litoral": {"bytesPerSecond": 1000000}}}
              },
              "regions": {"serra": {
                "services": {"balcao-reparo": {"kinds": {"seam-check": {"cap": 0.9}}}},
                "zones": {"caxias": {
                  "batch": {"leaseMs": 40000},
                  "shifts": {"counter": {"to": "19:00", "batch": {"candidates": 4}}}}}}}
            }
            """;

    /** Monday 2026-12-07 18:30 in Sao Paulo, UTC-3. */
    static final long MONDAY_1830_MS = 1_796_679_000_000L;

    private static List<String> problems(String text) {
        InvalidSettingsException exception =
                assertThrows(InvalidSettingsException.class, () -> SettingsTree.parse(text));
        return exception.problems().stream().map(Problem::toString).toList();
    }

    @Nested
    class Validation {

        /** Guards against invalid text that is accepted, or reported without path, value or nearest key. */
        @ParameterizedTest
        @CsvSource(
                delimiter = '|',
                quoteCharacter = '`',
                value = {
                    "{\"defalts\":{}} | defalts: unknown key, found {}; nearest known key: defaults",
                    "{\"defaults\":{\"batch\":{\"leasMs\":5}}} | defaults.batch.leasMs: unknown key, found 5; nearest known key: leaseMs",
                    "{\"defaults\":{\"batch\":{\"leaseMs\":\"5\"}}} | defaults.batch.leaseMs: expected whole number from 1 to 86400000, found \"5\"",
                    "{\"defaults\":{\"batch\":{\"leaseMs\":0}}} | defaults.batch.leaseMs: expected whole number from 1 to 86400000, found 0",
                    "{\"defaults\":{\"batch\":{\"leaseMs\":1.5}}} | defaults.batch.leaseMs: expected whole number from 1 to 86400000, found 1.5",
                    "{\"defaults\":{\"batch\":{\"leaseMs\":null}}} | defaults.batch.leaseMs: expected whole number from 1 to 86400000, found null",
                    "{\"defaults\":{\"batch\":3}} | defaults.batch: expected an object, found 3",
                    "{\"defaults\":{\"timeZone\":\"Mars/Olympus\"}} | defaults.timeZone: expected IANA time zone name, found \"Mars/Olympus\"",
                    "{\"defaults\":{\"services\":{\"a.b\":{}}}} | defaults.services.a.b: expected a name of letters, digits, - and _, found a.b",
                    "{\"defaults\":{\"shifts\":{\"n\":{\"from\":\"25:00\",\"to\":\"01:00\"}}}} | defaults.shifts.n.from: expected local time HH:MM, found \"25:00\"",
                    "{\"defaults\":{\"shifts\":{\"n\":{\"days\":[],\"from\":\"22:00\",\"to\":\"01:00\"}}}} | defaults.shifts.n.days: expected list of days out of mon, tue, wed, thu, fri, sat, sun, found []",
                    "{\"defaults\":{\"services\":{\"s\":{\"kinds\":{\"k\":{\"objective\":1}}}}}} | defaults.services.s.kinds.k.objective: expected number above 0 and below 1, found 1",
                    "{\"regions\":{\"r\":{\"links\":{}}}} | regions.r.links: unknown key, found {}",
                })
        void shouldReportPathValueAndNearestKeyWhenTextIsInvalid(String text, String expected) {
            assertTrue(problems(text).contains(expected), () -> problems(text).toString());
        }

        /** Guards against levels that are valid separately and contradict each other. */
        @ParameterizedTest
        @CsvSource(
                delimiter = '|',
                quoteCharacter = '`',
                value = {
                    "{\"defaults\":{\"services\":{\"s\":{\"kinds\":{\"k\":{\"guaranteedShare\":0.6}}}}},\"regions\":{\"r\":{\"services\":{\"s\":{\"kinds\":{\"k\":{\"cap\":0.5}}}}}}} | r: services.s.kinds.k.guaranteedShare: must be at most cap 0.5 (regions.r), found 0.6 (defaults)",
                    "{\"defaults\":{\"services\":{\"s\":{\"kinds\":{\"k\":{\"guaranteedShare\":0.6},\"l\":{\"guaranteedShare\":0.5}}}}}} | defaults: services.s.kinds: must be at most 1, found sum of guaranteedShare 1.1",
                    "{\"defaults\":{\"batch\":{\"leaseMs\":6000}}} | defaults: batch.renewIntervalMs: must be at most half of leaseMs 6000 (defaults), found 5000 (built-in)",
                    "{\"defaults\":{\"batch\":{\"throttlePercent\":60}}} | defaults: batch.releasePercent: must be below throttlePercent 60 (defaults), found 70 (built-in)",
                    "{\"defaults\":{\"services\":{\"s\":{\"kinds\":{\"k\":{\"latencyBoundMs\":2000}}}}}} | defaults: services.s.kinds.k.latencyBoundMs: must be at most deadlineMs 1000 (built-in), found 2000 (defaults)",
                    "{\"defaults\":{\"shifts\":{\"n\":{\"from\":\"22:00\"}}}} | defaults: shifts.n: the shift has no 'to' on any level, found nothing",
                    "{\"defaults\":{\"shifts\":{\"n\":{\"from\":\"22:00\",\"to\":\"01:00\",\"services\":{\"s\":{}}}}}} | defaults during n: services.s: the service is defined by shifts only and not on any level, found only shifts",
                    "{\"defaults\":{\"shifts\":{\"n\":{\"from\":\"22:00\",\"to\":\"06:00\",\"batch\":{\"candidates\":2}},\"o\":{\"from\":\"05:00\",\"to\":\"07:00\",\"batch\":{\"candidates\":3}}}}} | defaults during n+o: batch.candidates: overlapping shifts set different values: 3 (defaults.shifts.o), found 2 (defaults.shifts.n)",
                    "{\"defaults\":{\"links\":{\"r\":{\"r\":{}}}}} | defaults.links.r.r: a link must connect two different regions, found r",
                })
        void shouldReportBothLevelsWhenTheyContradictEachOther(String text, String expected) {
            assertEquals(List.of(expected), problems(text));
        }

        /** Guards against reports that contain only the first of several problems. */
        @Test
        void shouldReportAllProblemsAtOnce() {
            assertEquals(
                    3,
                    problems("{\"defaults\":{\"batch\":{\"leaseMs\":0,\"x\":1},\"entry\":{\"drainMs\":true}}}")
                            .size());
        }

        /** Guards against a text that sets one key twice. */
        @Test
        void shouldReportLineAndColumnWhenTextIsNotJson() {
            String found = problems("{\"defaults\":{},\n\"defaults\":{}}").get(0);
            assertTrue(found.contains("line 2") && found.contains("Duplicate"), found);
        }
    }

    @Nested
    class Inheritance {

        /** Guards against a level that is overridden by a less specific one, and against a wrong origin. */
        @ParameterizedTest
        @CsvSource(
                delimiter = '|',
                value = {
                    "defaults | batch.leaseMs | 20000 | defaults",
                    "serra | batch.leaseMs | 20000 | defaults",
                    "serra/caxias | batch.leaseMs | 40000 | regions.serra.zones.caxias",
                    "serra/caxias | batch.renewIntervalMs | 5000 | built-in",
                    "serra/vacaria | batch.leaseMs | 20000 | defaults",
                    "elsewhere/x | batch.leaseMs | 20000 | defaults",
                    "serra/caxias | services.balcao-reparo.kinds.seam-check.cap | 0.9 | regions.serra",
                    "litoral/tramandai | services.balcao-reparo.kinds.seam-check.cap | 1.0 | built-in",
                    "serra/caxias | services.balcao-reparo.kinds.seam-check.guaranteedShare | 0.7 | defaults.shifts.counter",
                    "serra/vacaria | services.balcao-reparo.kinds.seam-check.guaranteedShare | 0.5 | defaults",
                    "serra/caxias | batch.candidates | 4 | regions.serra.zones.caxias.shifts.counter",
                    "serra/vacaria | batch.candidates | 8 | built-in",
                    "serra/caxias | services.balcao-reparo.kinds.seam-check.latencyBoundMs | 400 | built-in",
                    "serra/caxias | services.balcao-reparo.kinds.mildew-watch.deadlineMs | 2000 | built-in",
                    "serra/caxias | teams.lonas.weight | 3 | defaults",
                    "serra/caxias | links.serra.litoral.bytesPerSecond | 1000000 | defaults",
                })
        void shouldTakeTheMostSpecificLevel(String place, String path, String value, String level) throws Exception {
            Effective effective =
                    SettingsTree.parse(SERRA).effective(Place.parse(place).orElseThrow(), MONDAY_1830_MS);
            Optional<EffectiveValue> found = effective.values().stream()
                    .filter(each -> each.path().equals(path))
                    .findFirst();
            assertEquals(Optional.of(new EffectiveValue(path, value, level)), found);
        }

        /** Guards against typed records that differ from the listing for operators. */
        @Test
        void shouldBuildTypedContracts() throws Exception {
            Effective effective = SettingsTree.parse(SERRA).effective(new Place("serra", "caxias"), MONDAY_1830_MS);
            KindContract seamCheck = effective
                    .service("balcao-reparo")
                    .orElseThrow()
                    .kind("seam-check")
                    .orElseThrow();
            assertEquals(
                    new KindContract("seam-check", 0, 0.7, 0.9, 1000, 10_000, 8, false, 400, 0.99, 400, 28), seamCheck);
            assertEquals(Optional.empty(), effective.idempotent("balcao-reparo", "seam-check"));
            assertEquals(Optional.of(true), effective.idempotent("balcao-reparo", "mildew-watch"));
            assertEquals(Optional.empty(), effective.service("unnamed"));
            assertEquals(1_000_000, effective.link("litoral", "serra").bytesPerSecond());
        }

        /** Guards against built-in defaults that differ between the code and the catalogue. */
        @Test
        void shouldUseTheDefaultsOfTheCatalogue() throws Exception {
            SettingsTree named = SettingsTree.parse(
                    "{\"defaults\":{\"services\":{\"s\":{\"kinds\":{\"k\":{}}}},\"teams\":{\"t\":{}},\"links\":{\"a\":{\"b\":{}}}}}");
            List<EffectiveValue> values = named.effective(new Place("", ""), 0).values();
            for (Setting setting : SettingsCatalogue.all()) {
                if (setting.group().equals(SettingsCatalogue.SHIFTS)) {
                    continue;
                }
                List<String> found = values.stream()
                        .filter(each -> each.path().endsWith("." + setting.name())
                                || each.path().equals(setting.name()))
                        .filter(each -> each.path().contains(".kinds.")
                                == setting.group().equals(SettingsCatalogue.KINDS))
                        .map(each -> each.value().replace("\"", "").replaceAll("\\.0$", ""))
                        .toList();
                boolean derived = setting.defaultText().contains(" of the ");
                assertEquals(
                        List.of(derived ? "1000" : setting.defaultText()), found, setting.group() + setting.name());
            }
        }
    }

    @Nested
    class Edits {

        private final SettingsPath leaseMs = path("regions.serra.zones.caxias.batch.leaseMs");

        /** Guards against a rollback that keeps empty objects created by the change. */
        @Test
        void shouldRestoreTheTreeExactlyWhenUndone() throws Exception {
            SettingsTree tree = SettingsTree.parse(SERRA);
            SettingsTree.Applied applied = tree.apply(List.of(
                    Edit.set(path("defaults.services.pad-desk.kinds.reprice.urgency"), "2"),
                    Edit.remove(path("defaults.teams")),
                    Edit.set(leaseMs, "50000"),
                    Edit.set(path("regions.serra.zones.vacaria"), "{\"entry\":{\"drainMs\":5}}")));
            assertEquals(
                    tree.toJson(), applied.tree().apply(applied.undo()).tree().toJson());
            assertFalse(tree.toJson().contains("pad-desk"), "the original tree was modified");
        }

        /** Guards against a diff that does not produce the other tree. */
        @Test
        void shouldProduceTheOtherTreeWhenDiffIsApplied() throws Exception {
            SettingsTree tree = SettingsTree.parse(SERRA);
            SettingsTree other = SettingsTree.parse("{\"defaults\":{\"batch\":{\"leaseMs\":20001},\"entry\":{}}}");
            List<Edit> edits = tree.diff(other);
            assertEquals(other.toJson(), tree.apply(edits).tree().toJson());
            assertEquals(
                    "set defaults.batch.leaseMs = 20001",
                    edits.stream()
                            .map(Edit::toString)
                            .filter(e -> e.contains("lease"))
                            .collect(Collectors.joining()));
        }

        /** Guards against a change of one level that contradicts another level. */
        @ParameterizedTest
        @CsvSource(
                delimiter = '|',
                value = {
                    "regions.serra.zones.caxias.batch.leaseMs | 9000 | must be at most half of leaseMs",
                    "regions.serra.services.balcao-reparo.kinds.seam-check.cap | 0.6 | must be at most cap 0.6 (regions.serra)",
                    "defaults.shifts.counter.services.balcao-reparo.kinds.seam-check.guaranteedShare | 0.95 | must be at most 1",
                    "defaults.batch.leaseMs.x | 1 | no keys are allowed below the value",
                })
        void shouldRefuseWhenAChangeContradictsAnotherLevel(String path, String json, String expected)
                throws Exception {
            SettingsTree tree = SettingsTree.parse(SERRA);
            InvalidSettingsException exception =
                    assertThrows(InvalidSettingsException.class, () -> tree.apply(List.of(Edit.set(path(path), json))));
            assertTrue(exception.getMessage().contains(expected), exception.getMessage());
        }

        /** Guards against a process of an older version that fails at, or drops, keys and values of a newer one. */
        @Test
        void shouldKeepUnknownKeysAndValuesWhenCommitted() throws Exception {
            SettingsTree tree = SettingsTree.parse(SERRA)
                    .applyCommitted(List.of(
                            Edit.set(path("defaults.batch.futureMs"), "{\"a\":1}"), Edit.set(leaseMs, "\"long\"")));
            assertTrue(tree.toJson().contains("\"futureMs\":{\"a\":1}"), tree.toJson());
            assertEquals(
                    20_000,
                    tree.effective(new Place("serra", "caxias"), 0).batch().leaseMs(),
                    "an unknown value falls back to the level above");
            assertEquals(tree.toJson(), SettingsTree.committed(tree.toJson()).toJson());
        }

        private SettingsPath path(String text) {
            return new SettingsPath(List.of(text.split("\\.")));
        }
    }
}
