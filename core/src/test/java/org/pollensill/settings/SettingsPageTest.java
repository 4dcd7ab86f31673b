package org.pollensill.settings;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against a settings page that differs from the code. */
class SettingsPageTest {

    @Test
    void shouldListEverySettingOfTheCodeAndNoOther() throws Exception {
        List<String> page = Files.readAllLines(Path.of("../docs/settings.md")).stream()
                .filter(line -> line.matches("\\| (`.+`|level) \\| `.+` \\|.*"))
                .toList();
        List<String> code = SettingsCatalogue.all().stream()
                .map(setting -> String.join(
                        " | ",
                        "| " + (setting.group().isEmpty() ? "level" : "`" + setting.group() + "`"),
                        "`" + setting.name() + "`",
                        setting.type().expected(),
                        setting.unit(),
                        setting.defaultText(),
                        setting.levels(),
                        setting.effect() + " |"))
                .toList();
        assertEquals(String.join("\n", code), String.join("\n", page));
    }
}
