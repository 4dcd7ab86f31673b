package org.pollensill.runtime.boot;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.pollensill.runtime.net.AddressException;
import org.pollensill.runtime.net.Addresses;

/** Reads a boot file and reports all its problems at once. */
public final class BootFileReader {

    private static final Set<String> KEYS = Set.of(
            "host",
            "region",
            "zone",
            "callerAddress",
            "peerAddress",
            "adminAddress",
            "platform",
            "peers",
            "fleetTokenFile",
            "operatorTokensFile",
            "callerTls",
            "adminTls",
            "log");
    private static final InetSocketAddress INVALID_ADDRESS = InetSocketAddress.createUnresolved("unknown", 0);

    private final Path file;
    private final JsonNode root;
    private final List<String> problems = new ArrayList<>();

    private BootFileReader(Path file, JsonNode root) {
        this.file = file;
        this.root = root;
    }

    /**
     * Reads a file.
     *
     * @param file the file, JSON with comments
     * @return the values
     * @throws BootFileException if the file cannot be read or has problems
     */
    public static BootFile read(Path file) throws BootFileException {
        Objects.requireNonNull(file, "file is null");
        JsonMapper mapper = JsonMapper.builder()
                .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
                .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
                .build();
        try {
            return new BootFileReader(file, mapper.readTree(Files.readString(file))).parseValues();
        } catch (IOException e) {
            throw new BootFileException(file, List.of("cannot be read: " + e.getMessage()));
        }
    }

    private BootFile parseValues() throws BootFileException {
        reportUnknownKeys();
        BootFile values = new BootFile(
                requiredText("/host"),
                requiredText("/region"),
                requiredText("/zone"),
                root.has("callerAddress") ? Optional.of(address("/callerAddress")) : Optional.empty(),
                address("/peerAddress"),
                address("/adminAddress"),
                address("/platform/tables"),
                address("/platform/objects"),
                address("/platform/hosts"),
                peerAddresses(),
                fleetToken(),
                optionalPath("/operatorTokensFile"),
                tlsFiles("/callerTls"),
                tlsFiles("/adminTls"),
                choice("/log/format", "json", Set.of("json", "text")),
                choice("/log/level", "info", Set.of("debug", "info", "warn", "error")));
        if (!problems.isEmpty()) {
            throw new BootFileException(file, problems);
        }
        return values;
    }

    private void reportUnknownKeys() {
        for (Iterator<String> names = root.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!KEYS.contains(name)) {
                problems.add("unknown key " + name);
            }
        }
    }

    private String requiredText(String pointer) {
        JsonNode node = root.at(pointer);
        if (!node.isTextual() || node.asText().isBlank()) {
            problems.add(pointer.substring(1) + " must be a non-empty string");
            return "";
        }
        return node.asText();
    }

    private InetSocketAddress address(String pointer) {
        return parseAddress(pointer, root.at(pointer));
    }

    private InetSocketAddress parseAddress(String pointer, JsonNode node) {
        try {
            return Addresses.parse(node.asText());
        } catch (AddressException e) {
            problems.add(pointer.substring(1) + ": " + e.getMessage());
            return INVALID_ADDRESS;
        }
    }

    private List<InetSocketAddress> peerAddresses() {
        List<InetSocketAddress> peers = new ArrayList<>();
        for (JsonNode node : root.path("peers")) {
            peers.add(parseAddress("/peers", node));
        }
        return peers;
    }

    private String fleetToken() {
        Optional<Path> tokenFile = optionalPath("/fleetTokenFile");
        if (tokenFile.isEmpty()) {
            problems.add("fleetTokenFile is missing");
            return "";
        }
        try {
            String token = Files.readString(tokenFile.get()).strip();
            if (token.isEmpty()) {
                problems.add("fleetTokenFile is empty");
            }
            return token;
        } catch (IOException e) {
            problems.add("fleetTokenFile cannot be read: " + e.getMessage());
            return "";
        }
    }

    private Optional<Path> optionalPath(String pointer) {
        JsonNode node = root.at(pointer);
        return node.isTextual() ? Optional.of(Path.of(node.asText())) : Optional.empty();
    }

    private Optional<BootFile.TlsFiles> tlsFiles(String pointer) {
        if (root.at(pointer).isMissingNode()) {
            return Optional.empty();
        }
        Optional<Path> certificate = optionalPath(pointer + "/certificateFile");
        Optional<Path> key = optionalPath(pointer + "/keyFile");
        if (certificate.isEmpty() || key.isEmpty()) {
            problems.add(pointer.substring(1) + " needs certificateFile and keyFile");
            return Optional.empty();
        }
        return Optional.of(new BootFile.TlsFiles(certificate.get(), key.get()));
    }

    private String choice(String pointer, String defaultValue, Set<String> allowedValues) {
        JsonNode node = root.at(pointer);
        if (node.isMissingNode()) {
            return defaultValue;
        }
        if (!allowedValues.contains(node.asText())) {
            problems.add(pointer.substring(1) + " must be one of " + allowedValues + ", not \"" + node.asText() + "\"");
        }
        return node.asText();
    }
}
