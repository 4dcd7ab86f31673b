package org.pollensill.cli.admin;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;

/** A text table with aligned columns. */
public final class TextTable {

    private final List<List<String>> rows = new ArrayList<>();

    /**
     * Adds a row.
     *
     * @param cells the cells
     * @return this table
     */
    public TextTable row(Object... cells) {
        rows.add(Arrays.stream(cells).map(String::valueOf).toList());
        return this;
    }

    /**
     * Prints the table.
     *
     * @param out the stream
     */
    public void print(PrintStream out) {
        List<Integer> widths = new ArrayList<>();
        for (List<String> row : rows) {
            for (int i = 0; i < row.size(); i++) {
                if (i == widths.size()) {
                    widths.add(0);
                }
                widths.set(i, Math.max(widths.get(i), row.get(i).length()));
            }
        }
        for (List<String> row : rows) {
            StringBuilder line = new StringBuilder();
            for (int i = 0; i < row.size(); i++) {
                line.append(row.get(i));
                if (i + 1 < row.size()) {
                    line.append(" ".repeat(widths.get(i) - row.get(i).length() + 2));
                }
            }
            out.println(line.toString().stripTrailing());
        }
    }

    /**
     * Prints JSON as indented lines, for reports whose structure is determined by the daemon.
     *
     * @param out the stream
     * @param json the JSON
     */
    public static void outline(PrintStream out, JsonNode json) {
        outline(out, json, 0);
    }

    private static void outline(PrintStream out, JsonNode json, int depth) {
        String indent = "  ".repeat(depth);
        if (json.isArray()) {
            for (JsonNode item : json) {
                if (item.isValueNode()) {
                    out.println(indent + "- " + item.asText());
                } else {
                    out.println(indent + "-");
                    outline(out, item, depth + 1);
                }
            }
            return;
        }
        json.fields().forEachRemaining(field -> {
            if (field.getValue().isValueNode()) {
                out.println(indent + field.getKey() + ": " + field.getValue().asText());
            } else {
                out.println(indent + field.getKey() + ":");
                outline(out, field.getValue(), depth + 1);
            }
        });
    }
}
