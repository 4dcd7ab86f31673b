package org.pollensill.zone;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Guards against views that change in a round trip, and against malformed rows that terminate a daemon. */
class ViewRowTest {

    @Test
    void shouldParseSerialisedView() throws ViewRowException {
        MemberId owner = ZoneDriver.id("a");
        MemberId formerOwner = ZoneDriver.id("b");
        MemberId member = ZoneDriver.id("c");
        Slice slice =
                ZoneDriver.slice(owner, 5, new FormerOwner(formerOwner, 4, true), new FormerOwner(member, 5, false));
        ZoneView view = ZoneDriver.view(7, slice, owner, member);
        assertEquals(view, ViewRow.read(ViewRow.write(view)));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "{",
                "[]",
                "{}",
                "{\"epoch\":1,\"commitId\":\"c\",\"members\":[],\"formers\":[],\"slices\":[{\"owner\":0,\"since\":1}]}",
                "{\"epoch\":0,\"commitId\":\"c\",\"members\":[],\"formers\":[],\"slices\":[]}",
                "{\"epoch\":1,\"members\":[{\"name\":\"a\"}],\"formers\":[],\"slices\":[]}",
                "{\"epoch\":1,\"commitId\":7,\"members\":[],\"formers\":[],\"slices\":[]}"
            })
    void shouldRefuseRowWithoutValidView(String text) {
        assertThrows(ViewRowException.class, () -> ViewRow.read(text));
    }
}
