package org.pollensill.bench.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Reading of the resource usage of a process, taken from {@code /proc}.
 *
 * @param atNs time of the reading
 * @param residentBytes resident memory
 * @param processorMs processor time
 * @param transferredBytes bytes read and written by system calls, sockets and log included
 */
record ProcessUsage(long atNs, long residentBytes, long processorMs, long transferredBytes) {

    private static final long CLOCK_TICK_MS = 10;

    static ProcessUsage of(long pid) throws IOException {
        Path procDirectory = Path.of("/proc", Long.toString(pid));
        String stat = Files.readString(procDirectory.resolve("stat"));
        // Field indices start after the command name, which may contain blanks.
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        long ticks = Long.parseLong(fields[11]) + Long.parseLong(fields[12]);
        return new ProcessUsage(
                System.nanoTime(),
                1024 * readField(procDirectory.resolve("status"), "VmRSS:"),
                ticks * CLOCK_TICK_MS,
                readField(procDirectory.resolve("io"), "rchar:") + readField(procDirectory.resolve("io"), "wchar:"));
    }

    private static long readField(Path file, String fieldName) throws IOException {
        for (String line : Files.readAllLines(file)) {
            if (line.startsWith(fieldName)) {
                return Long.parseLong(
                        line.substring(fieldName.length()).replace("kB", "").strip());
            }
        }
        throw new IOException(file + " has no field " + fieldName);
    }

    double processorPercentSince(ProcessUsage previous) {
        return 100.0 * (processorMs - previous.processorMs) * 1e6 / (atNs - previous.atNs);
    }

    double bytesPerSecondSince(ProcessUsage previous) {
        return (transferredBytes - previous.transferredBytes) * 1e9 / (atNs - previous.atNs);
    }
}
