import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Minimal JSON: objects are maps, arrays lists, whole numbers Long, others Double. */
final class Json {

    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    private char next() {
        while (Character.isWhitespace(text.charAt(at))) {
            at++;
        }
        return text.charAt(at);
    }

    private Object value() {
        char first = next();
        if (first == '{') {
            Map<String, Object> members = new LinkedHashMap<>();
            at++;
            while (next() != '}') {
                String name = string();
                next();
                at++; // the colon
                members.put(name, value());
                if (next() == ',') {
                    at++;
                }
            }
            at++;
            return members;
        }
        if (first == '[') {
            List<Object> items = new ArrayList<>();
            at++;
            while (next() != ']') {
                items.add(value());
                if (next() == ',') {
                    at++;
                }
            }
            at++;
            return items;
        }
        if (first == '"') {
            return string();
        }
        int start = at;
        while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
            at++;
        }
        String word = text.substring(start, at);
        switch (word) {
            case "true":
                return Boolean.TRUE;
            case "false":
                return Boolean.FALSE;
            case "null":
                return null;
            default:
                return word.matches("-?[0-9]+") ? (Object) Long.valueOf(word) : (Object) Double.valueOf(word);
        }
    }

    private String string() {
        next();
        StringBuilder result = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char character = text.charAt(at++);
            if (character != '\\') {
                result.append(character);
                continue;
            }
            char escaped = text.charAt(at++);
            switch (escaped) {
                case 'n':
                    result.append('\n');
                    break;
                case 't':
                    result.append('\t');
                    break;
                case 'r':
                    result.append('\r');
                    break;
                case 'b':
                    result.append('\b');
                    break;
                case 'f':
                    result.append('\f');
                    break;
                case 'u':
                    result.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                    break;
                default:
                    result.append(escaped);
            }
        }
        at++;
        return result.toString();
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> members) {
            out.append('{');
            String separator = "";
            for (Map.Entry<?, ?> member : members.entrySet()) {
                out.append(separator);
                write(member.getKey(), out);
                out.append(':');
                write(member.getValue(), out);
                separator = ",";
            }
            out.append('}');
        } else if (value instanceof List<?> items) {
            out.append('[');
            String separator = "";
            for (Object item : items) {
                out.append(separator);
                write(item, out);
                separator = ",";
            }
            out.append(']');
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

    /** Builds an object from names and values in turn. */
    static Map<String, Object> of(Object... namesAndValues) {
        Map<String, Object> members = new LinkedHashMap<>();
        for (int i = 0; i < namesAndValues.length; i += 2) {
            members.put((String) namesAndValues[i], namesAndValues[i + 1]);
        }
        return members;
    }

    static long number(Map<String, Object> members, String name, long absent) {
        return members.get(name) instanceof Number number ? number.longValue() : absent;
    }

    static String string(Map<String, Object> members, String name) {
        return members.get(name) instanceof String string ? string : "";
    }

    @SuppressWarnings("unchecked")
    static List<Map<String, Object>> objects(Map<String, Object> members, String name) {
        return members.get(name) instanceof List<?> items ? (List<Map<String, Object>>) items : List.of();
    }
}
