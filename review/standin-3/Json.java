import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Minimal JSON: objects are maps, arrays are lists, whole numbers are longs. */
final class Json {

    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        Json json = new Json(text);
        return json.value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    @SuppressWarnings("unchecked")
    static List<Map<String, Object>> objects(Object list) {
        return list == null ? List.of() : (List<Map<String, Object>>) list;
    }

    static long number(Object value) {
        return value instanceof Number found ? found.longValue() : 0;
    }

    private char peek() {
        while (Character.isWhitespace(text.charAt(at))) {
            at++;
        }
        return text.charAt(at);
    }

    private Object value() {
        char first = peek();
        switch (first) {
            case '{':
                at++;
                Map<String, Object> members = new LinkedHashMap<>();
                while (peek() != '}') {
                    String name = string();
                    peek();
                    at++;
                    members.put(name, value());
                    if (peek() == ',') {
                        at++;
                    }
                }
                at++;
                return members;
            case '[':
                at++;
                List<Object> items = new ArrayList<>();
                while (peek() != ']') {
                    items.add(value());
                    if (peek() == ',') {
                        at++;
                    }
                }
                at++;
                return items;
            case '"':
                return string();
            default:
                int from = at;
                while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
                    at++;
                }
                return word(text.substring(from, at));
        }
    }

    private static Object word(String word) {
        switch (word) {
            case "true":
                return true;
            case "false":
                return false;
            case "null":
                return null;
            default:
                return word.matches("-?[0-9]+") ? (Object) Long.valueOf(word) : (Object) Double.valueOf(word);
        }
    }

    private String string() {
        peek();
        at++;
        StringBuilder found = new StringBuilder();
        while (text.charAt(at) != '"') {
            char next = text.charAt(at++);
            if (next != '\\') {
                found.append(next);
                continue;
            }
            char escaped = text.charAt(at++);
            int plain = "nrtbf".indexOf(escaped);
            if (plain >= 0) {
                found.append("\n\r\t\b\f".charAt(plain));
            } else if (escaped == 'u') {
                found.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                at += 4;
            } else {
                found.append(escaped);
            }
        }
        at++;
        return found.toString();
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> members) {
            String separator = "{";
            for (Map.Entry<?, ?> member : members.entrySet()) {
                out.append(separator);
                write(member.getKey(), out);
                out.append(':');
                write(member.getValue(), out);
                separator = ",";
            }
            out.append(members.isEmpty() ? "{}" : "}");
        } else if (value instanceof List<?> items) {
            String separator = "[";
            for (Object item : items) {
                out.append(separator);
                write(item, out);
                separator = ",";
            }
            out.append(items.isEmpty() ? "[]" : "]");
        } else if (value instanceof String string) {
            out.append('"');
            for (char character : string.toCharArray()) {
                if (character == '"' || character == '\\') {
                    out.append('\\').append(character);
                } else if (character < ' ') {
                    out.append(String.format("\\u%04x", (int) character));
                } else {
                    out.append(character);
                }
            }
            out.append('"');
        } else {
            out.append(value);
        }
    }
}
