package org.pollensill.coordinator;

/** A source of the configuration that cannot be used at present. */
final class ConfigSourceException extends Exception {

    private static final long serialVersionUID = 1;

    ConfigSourceException(String message) {
        super(message);
    }
}
