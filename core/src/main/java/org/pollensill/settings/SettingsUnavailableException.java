package org.pollensill.settings;

import java.util.Objects;

import org.pollensill.error.PollensillException;
import org.pollensill.platform.PlatformException;

/** Thrown if a change could not be committed because the store is unavailable. */
public final class SettingsUnavailableException extends PollensillException {

    private static final long serialVersionUID = 1L;

    private final PlatformException.Effect effect;

    /**
     * Creates an exception.
     *
     * @param effect whether the change may still take effect
     * @param cause the last failure of the store
     */
    public SettingsUnavailableException(PlatformException.Effect effect, Throwable cause) {
        super(
                Objects.requireNonNull(effect, "effect is null") == PlatformException.Effect.NONE
                        ? "the store is not reachable and the change had no effect: " + cause.getMessage()
                        : "the store is not reachable and the change may have taken effect; send it again with"
                                + " the same ID: " + cause.getMessage(),
                cause);
        this.effect = effect;
    }

    /**
     * Returns whether the change may still take effect.
     *
     * @return {@code NONE} if the change had no effect, {@code UNKNOWN} if it may still take effect
     */
    public PlatformException.Effect effect() {
        return effect;
    }
}
