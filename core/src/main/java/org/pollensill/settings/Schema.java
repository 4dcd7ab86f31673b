package org.pollensill.settings;

import java.util.Map;
import java.util.Objects;

/** Schema of a part of the tree. */
sealed interface Schema {

    /**
     * An object with known keys.
     *
     * @param fields the schemas by key
     */
    record Fields(Map<String, Schema> fields) implements Schema {

        /** Creates a schema. */
        public Fields {
            fields = Map.copyOf(Objects.requireNonNull(fields, "fields is null"));
        }
    }

    /**
     * An object whose keys are names that operators choose.
     *
     * @param item the schema of the value of each name
     */
    record Named(Schema item) implements Schema {

        /** Creates a schema. */
        public Named {
            Objects.requireNonNull(item, "item is null");
        }
    }

    /**
     * A single value.
     *
     * @param setting its description
     */
    record Value(Setting setting) implements Schema {

        /** Creates a schema. */
        public Value {
            Objects.requireNonNull(setting, "setting is null");
        }
    }
}
