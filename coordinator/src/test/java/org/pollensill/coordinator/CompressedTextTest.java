package org.pollensill.coordinator;

import java.util.Arrays;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class CompressedTextTest {

    @Property(tries = 200, seed = "20261205")
    void shouldDecodeWhatItEncoded(@ForAll String text) throws ConfigSourceException {
        String wellFormed = new String(
                text.getBytes(java.nio.charset.StandardCharsets.UTF_8), java.nio.charset.StandardCharsets.UTF_8);
        assertEquals(wellFormed, CompressedText.decode(CompressedText.encode(wellFormed)));
    }

    // A reader that sends garbage must not end the process that follows it.
    @Property(tries = 500, seed = "20261205")
    void shouldRejectOrDecodeAnyBytesWithoutAnotherFailure(@ForAll byte[] bytes) {
        try {
            CompressedText.decode(bytes);
        } catch (ConfigSourceException e) {
            assertTrue(e.getMessage().contains("text"));
        }
    }

    @Test
    void shouldRejectTruncatedText() {
        byte[] compressed = CompressedText.encode("a text that is long enough to be cut off");
        assertThrows(
                ConfigSourceException.class,
                () -> CompressedText.decode(Arrays.copyOf(compressed, compressed.length - 5)));
    }
}
