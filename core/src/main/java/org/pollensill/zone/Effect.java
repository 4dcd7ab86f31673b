package org.pollensill.zone;

import java.util.Objects;
import java.util.Optional;

import org.pollensill.platform.Commit;
import org.pollensill.platform.Row;

/** An action that a daemon performs on behalf of a {@link ZoneMember}. Effects are performed in the order returned. */
public sealed interface Effect {

    /**
     * Reads the row of the view and reports the result.
     *
     * @param readId identity of the read, repeated in the result
     * @param key the row's key
     */
    record ReadRow(long readId, String key) implements Effect {

        /**
         * Creates the effect.
         *
         * @throws NullPointerException if {@code key} is null
         */
        public ReadRow {
            Objects.requireNonNull(key, "key is null");
        }
    }

    /**
     * Sends a commit once and reports its outcome.
     *
     * @param commit the commit
     */
    record CommitView(Commit commit) implements Effect {

        /**
         * Creates the effect.
         *
         * @throws NullPointerException if {@code commit} is null
         */
        public CommitView {
            Objects.requireNonNull(commit, "commit is null");
        }
    }

    /**
     * Sends a heartbeat. The daemon reports a refused connection or the incarnation that answers.
     *
     * @param address the receiver's address
     * @param heartbeat the heartbeat
     * @param relay the row of the view, sent before the heartbeat; empty if the receiver does not need it
     */
    record SendHeartbeat(String address, Heartbeat heartbeat, Optional<Row> relay) implements Effect {

        /**
         * Creates the effect.
         *
         * @throws NullPointerException if an argument is null
         */
        public SendHeartbeat {
            Objects.requireNonNull(address, "address is null");
            Objects.requireNonNull(heartbeat, "heartbeat is null");
            Objects.requireNonNull(relay, "relay is null");
        }
    }

    /**
     * Replies to a heartbeat on the connection on which it arrived.
     *
     * @param to the heartbeat's sender
     * @param reply the reply
     * @param relay the row of the view, sent before the reply; empty if the receiver does not need it
     */
    record SendReply(MemberId to, HeartbeatReply reply, Optional<Row> relay) implements Effect {

        /**
         * Creates the effect.
         *
         * @throws NullPointerException if an argument is null
         */
        public SendReply {
            Objects.requireNonNull(to, "to is null");
            Objects.requireNonNull(reply, "reply is null");
            Objects.requireNonNull(relay, "relay is null");
        }
    }

    /**
     * Logs an event.
     *
     * @param event the event's number
     * @param message the detail
     */
    record Log(int event, String message) implements Effect {

        /** A later view was adopted. */
        public static final int VIEW_ADOPTED = 2001;
        /** A process is proven to have terminated. */
        public static final int MEMBER_GONE = 2002;
        /** A view was proposed. */
        public static final int VIEW_PROPOSED = 2003;
        /** A row does not hold a valid view. */
        public static final int VIEW_UNREADABLE = 2004;
        /** A commit failed or was not answered. */
        public static final int COMMIT_UNKNOWN = 2005;
        /** A commit was rejected because the version of the row has changed. */
        public static final int COMMIT_CONFLICT = 2006;

        /**
         * Creates the effect.
         *
         * @throws NullPointerException if {@code message} is null
         */
        public Log {
            Objects.requireNonNull(message, "message is null");
        }
    }
}
