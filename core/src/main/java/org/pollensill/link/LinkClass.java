package org.pollensill.link;

/** Priority classes of traffic between regions, in descending priority. */
public enum LinkClass {
    /** Heartbeats, views and settings. Never delayed. */
    CONTROL,
    /** Requests and answers of the most urgent kinds. */
    URGENT,
    /** Requests and answers of the other kinds. */
    NORMAL,
    /** Requests and answers of the least urgent kinds. */
    BULK;

    /**
     * Returns the class for requests and answers of a kind.
     *
     * @param urgency the kind's urgency, 0 for the most urgent
     * @return the class
     */
    public static LinkClass ofUrgency(int urgency) {
        return urgency <= 0 ? URGENT : urgency == 1 ? NORMAL : BULK;
    }
}
