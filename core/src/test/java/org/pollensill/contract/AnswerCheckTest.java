package org.pollensill.contract;

import java.util.Optional;
import java.util.OptionalLong;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against forwarding an incomplete answer, or the answer to another caller's request. */
class AnswerCheckTest {

    @ParameterizedTest
    @CsvSource({
        "r1, 10, 10, true, WHOLE",
        "r1, , 10, true, WHOLE",
        "r1, 0, 0, true, WHOLE",
        "r1, 10, 9, true, TRUNCATED",
        "r1, 10, 11, true, TRUNCATED",
        "r1, 10, 10, false, TRUNCATED",
        "r1, , 10, false, TRUNCATED",
        "r2, 10, 10, true, MISMATCHED",
        "r2, 10, 3, false, MISMATCHED",
        "R1, 10, 10, true, MISMATCHED",
        ", 10, 10, true, MISMATCHED",
    })
    void shouldAcceptOnlyCompleteAnswersToTheSameRequest(
            String answeredId, Long declared, long received, boolean complete, AnswerCheck.Verdict expected) {
        OptionalLong declaredBytes = declared == null ? OptionalLong.empty() : OptionalLong.of(declared);
        assertEquals(
                expected,
                AnswerCheck.checkEnd("r1", Optional.ofNullable(answeredId), declaredBytes, received, complete));
    }
}
