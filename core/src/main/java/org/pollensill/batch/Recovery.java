package org.pollensill.batch;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.pollensill.platform.Row;

/**
 * A shard's state, rebuilt from snapshot and log.
 *
 * @param state the state
 * @param charsSinceSnapshot size of the log after the snapshot, in characters
 */
record Recovery(ShardState state, int charsSinceSnapshot) {

    /**
     * Rebuilds the state by replaying the log after the snapshot.
     *
     * @return empty if the log was trimmed while it was read, so that the image lacks rows or the snapshot
     */
    static Optional<Recovery> of(ShardPath path, ShardImage image) {
        if (image.head().isEmpty()) {
            return Optional.of(new Recovery(new ShardState(), 0));
        }
        ShardHead head = ShardHead.parse(image.head().get().value());
        if (head.snapshotSequence() > 0 && image.snapshot().isEmpty()) {
            return Optional.empty();
        }
        ShardState state = image.snapshot().map(SnapshotCodec::decode).orElseGet(ShardState::new);
        Map<String, String> values = new HashMap<>();
        for (Row row : image.rows()) {
            values.put(row.key(), row.value());
        }
        int chars = 0;
        for (long sequence = head.snapshotSequence() + 1; sequence < head.nextSequence(); sequence++) {
            String value = values.get(path.log(sequence));
            if (value == null) {
                return Optional.empty();
            }
            chars += value.length();
            value.lines().forEach(line -> state.apply(RecordCodec.decode(line), 0));
        }
        return Optional.of(new Recovery(state, chars));
    }
}
