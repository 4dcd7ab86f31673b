package org.pollensill.json;

import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.io.JsonStringEncoder;

/** Creates JSON text with the streaming generator. */
public final class JsonText {

    /** Writes the members of one object. */
    @FunctionalInterface
    public interface Members {

        /**
         * Writes the members.
         *
         * @param json the generator, inside an open object
         * @throws IOException declared by the generator; never thrown for output in memory
         */
        void write(JsonGenerator json) throws IOException;
    }

    private JsonText() {}

    /**
     * Returns the size of a text as a JSON string.
     *
     * @param text the text
     * @return the number of bytes in UTF-8, without the quotes
     */
    public static int encodedBytes(String text) {
        return JsonStringEncoder.getInstance().quoteAsUTF8(text).length;
    }

    /**
     * Returns a JSON object as text.
     *
     * @param members writes the members of the object
     * @return the text
     */
    public static String object(Members members) {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = JsonObject.FACTORY.createGenerator(text)) {
            json.writeStartObject();
            members.write(json);
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toString();
    }
}
