package org.pollensill.platform;

import java.util.Objects;

import org.pollensill.error.Failures;
import org.pollensill.error.PollensillException;

/** Failure of a call to the platform. */
public final class PlatformException extends PollensillException {

    private static final long serialVersionUID = 1L;

    /** Effect of the failed call, as far as it is known. */
    public enum Effect {
        /** The call had no effect. */
        NONE,
        /** The call had no effect, and its content is the reason: the same call will be rejected again. */
        REJECTED,
        /** The call may have taken effect or may do so later. */
        UNKNOWN
    }

    private final Effect effect;

    /**
     * Creates a failure.
     *
     * @param effect effect of the failed call
     * @param message description of the failure, with the call and the address
     */
    public PlatformException(Effect effect, String message) {
        super(message);
        this.effect = Objects.requireNonNull(effect, "effect is null");
    }

    /**
     * Returns the effect of a call that ended with any kind of failure.
     *
     * @param failure the failure as reported by a future
     * @return the effect, {@code UNKNOWN} if the failure is not a {@code PlatformException}
     */
    public static Effect effectOf(Throwable failure) {
        return Failures.unwrap(failure) instanceof PlatformException platform ? platform.effect() : Effect.UNKNOWN;
    }

    /**
     * Returns the effect of the failed call.
     *
     * @return the effect
     */
    public Effect effect() {
        return effect;
    }
}
