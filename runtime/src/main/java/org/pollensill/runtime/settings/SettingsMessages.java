package org.pollensill.runtime.settings;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

import com.google.protobuf.ByteString;
import org.pollensill.runtime.peer.wire.Envelope;
import org.pollensill.runtime.peer.wire.SettingsDeltas;
import org.pollensill.runtime.peer.wire.SettingsRequest;
import org.pollensill.settings.InvalidSettingsException;
import org.pollensill.settings.Problem;
import org.pollensill.settings.SettingsDelta;
import org.pollensill.settings.SettingsSnapshot;
import org.pollensill.settings.SettingsUpdate;

/** Converts between updates and peer messages. Snapshots are compressed, because link bandwidth is limited. */
final class SettingsMessages {

    /** Limit on decompressed snapshots, so that a small message cannot exhaust the memory of the process. */
    private static final int MAX_TREE_BYTES = 32 << 20;

    private SettingsMessages() {}

    static Envelope request(long revision) {
        return Envelope.newBuilder()
                .setSettingsRequest(SettingsRequest.newBuilder().setAfterRevision(Math.max(0, revision)))
                .build();
    }

    static Envelope deltas(SettingsUpdate update) {
        SettingsDeltas.Builder message = SettingsDeltas.newBuilder();
        update.snapshot()
                .ifPresent(snapshot ->
                        message.setSnapshotRevision(snapshot.revision()).setSnapshot(compress(snapshot.toJson())));
        for (SettingsDelta delta : update.deltas()) {
            message.addDeltas(org.pollensill.runtime.peer.wire.SettingsDelta.newBuilder()
                    .setRevision(delta.revision())
                    .setChange(ByteString.copyFromUtf8(delta.toJson())));
        }
        return Envelope.newBuilder().setSettingsDeltas(message).build();
    }

    static SettingsUpdate update(SettingsDeltas message) throws InvalidSettingsException {
        Optional<SettingsSnapshot> snapshot = Optional.empty();
        long revision = SettingsUpdate.UNKNOWN;
        if (!message.getSnapshot().isEmpty()) {
            snapshot = Optional.of(SettingsSnapshot.parse(decompress(message.getSnapshot())));
            revision = snapshot.get().revision();
        }
        List<SettingsDelta> deltas = new ArrayList<>();
        for (org.pollensill.runtime.peer.wire.SettingsDelta each : message.getDeltasList()) {
            SettingsDelta delta = SettingsDelta.parse(each.getChange().toStringUtf8());
            deltas.add(delta);
            revision = Math.max(revision, delta.revision());
        }
        return new SettingsUpdate(revision, snapshot, deltas);
    }

    private static ByteString compress(String text) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (GZIPOutputStream zip = new GZIPOutputStream(bytes)) {
            zip.write(text.getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return ByteString.copyFrom(bytes.toByteArray());
    }

    private static String decompress(ByteString bytes) throws InvalidSettingsException {
        try (GZIPInputStream zip = new GZIPInputStream(new ByteArrayInputStream(bytes.toByteArray()))) {
            byte[] text = zip.readNBytes(MAX_TREE_BYTES + 1);
            if (text.length > MAX_TREE_BYTES) {
                throw new InvalidSettingsException(List.of(
                        Problem.of("snapshot", "more than " + MAX_TREE_BYTES + " bytes", "the tree is too large")));
            }
            return new String(text, StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new InvalidSettingsException(
                    List.of(Problem.of("snapshot", bytes.size() + " bytes", "not valid gzip data: " + e.getMessage())));
        }
    }
}
