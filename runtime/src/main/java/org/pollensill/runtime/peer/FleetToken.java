package org.pollensill.runtime.peer;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.Objects;

/** Shared secret of a fleet. A peer proves possession of it by an HMAC over a challenge, without sending it. */
public final class FleetToken {

    private static final String ALGORITHM = "HmacSHA256";
    private static final int CHALLENGE_BYTES = 32;

    private final SecretKeySpec key;
    private final SecureRandom random = new SecureRandom();

    private FleetToken(SecretKeySpec key) {
        this.key = key;
    }

    /**
     * Returns a token.
     *
     * @param secret the secret, not empty
     * @return the token
     */
    public static FleetToken of(String secret) {
        Objects.requireNonNull(secret, "secret is null");
        return new FleetToken(new SecretKeySpec(secret.getBytes(StandardCharsets.UTF_8), ALGORITHM));
    }

    byte[] newChallenge() {
        byte[] challenge = new byte[CHALLENGE_BYTES];
        random.nextBytes(challenge);
        return challenge;
    }

    byte[] computeProof(byte[] challenge, PeerIdentity prover) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(key);
            mac.update(challenge);
            return mac.doFinal(prover.toString().getBytes(StandardCharsets.UTF_8));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("every Java platform has " + ALGORITHM, e);
        }
    }

    boolean verify(byte[] challenge, PeerIdentity prover, byte[] proof) {
        return MessageDigest.isEqual(computeProof(challenge, prover), proof);
    }
}
