package org.pollensill.coordinator;

import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * A coordinator in the directory.
 *
 * @param peerAddress its address for other coordinators
 * @param region its region
 * @param linkMbps the bandwidth of its network link, in megabits per second each way
 * @param progressFormat the latest format of stored jobs and their progress that it reads
 */
record Member(InetSocketAddress peerAddress, String region, double linkMbps, int progressFormat) {

    /** Format of the stored progress of jobs: in one row. */
    static final int PROGRESS_IN_ONE_ROW = 1;

    /** Format of the stored progress of jobs: in one row for each range of tasks. */
    static final int PROGRESS_IN_RANGES = 2;

    /** Format in which the row of a job that has ended holds its state alone, and its progress is deleted. */
    static final int ENDED_JOBS_REDUCED = 3;

    /** The member with the most bandwidth first, then by name, so that all members of a region select the same one. */
    private static final Comparator<Map.Entry<String, Member>> READER_ORDER =
            Comparator.<Map.Entry<String, Member>>comparingDouble(
                            entry -> -entry.getValue().linkMbps())
                    .thenComparing(Map.Entry::getKey);

    /**
     * Creates a member.
     *
     * @throws NullPointerException if an argument is null
     */
    Member {
        Objects.requireNonNull(peerAddress, "peerAddress is null");
        Objects.requireNonNull(region, "region is null");
    }

    /**
     * Selects the member that reads the configuration for a region.
     *
     * @param members all members by name
     * @param region the region
     * @return its name, empty if the region has no member
     */
    static Optional<String> configReader(Map<String, Member> members, String region) {
        return members.entrySet().stream()
                .filter(entry -> entry.getValue().region().equals(region))
                .min(READER_ORDER)
                .map(Map.Entry::getKey);
    }
}
