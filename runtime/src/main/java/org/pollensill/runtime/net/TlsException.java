package org.pollensill.runtime.net;

import java.nio.file.Path;

import org.pollensill.error.PollensillException;

/** Thrown when a certificate or key file is unreadable or invalid. */
public final class TlsException extends PollensillException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param certificateFile the certificate file
     * @param problem the defect of the certificate or of its key
     */
    public TlsException(Path certificateFile, String problem) {
        super(certificateFile + ": " + problem);
    }
}
