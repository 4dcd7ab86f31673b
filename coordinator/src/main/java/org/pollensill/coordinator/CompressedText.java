package org.pollensill.coordinator;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/** Text in compressed form (RFC 1950). */
final class CompressedText {

    /** Maximum size of a text; an operator's configuration has a few hundred KB. */
    private static final int MAX_TEXT_BYTES = 16 << 20;

    private static final int BUFFER_BYTES = 8_192;

    private CompressedText() {}

    static byte[] encode(String text) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try {
            deflater.setInput(text.getBytes(StandardCharsets.UTF_8));
            deflater.finish();
            ByteArrayOutputStream compressed = new ByteArrayOutputStream();
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!deflater.finished()) {
                compressed.write(buffer, 0, deflater.deflate(buffer));
            }
            return compressed.toByteArray();
        } finally {
            deflater.end();
        }
    }

    static String decode(byte[] compressed) throws ConfigSourceException {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(compressed);
            ByteArrayOutputStream text = new ByteArrayOutputStream();
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!inflater.finished()) {
                int count = inflater.inflate(buffer);
                if (count == 0 && !inflater.finished()) {
                    throw new ConfigSourceException("truncated compressed text");
                }
                text.write(buffer, 0, count);
                if (text.size() > MAX_TEXT_BYTES) {
                    throw new ConfigSourceException("text of more than " + MAX_TEXT_BYTES + " bytes");
                }
            }
            return text.toString(StandardCharsets.UTF_8);
        } catch (DataFormatException e) {
            throw new ConfigSourceException("malformed compressed text: " + e.getMessage());
        } finally {
            inflater.end();
        }
    }
}
