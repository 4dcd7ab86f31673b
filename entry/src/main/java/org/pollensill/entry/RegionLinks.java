package org.pollensill.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.IntSupplier;

import org.pollensill.link.AnswerSize;
import org.pollensill.link.LinkBudget;
import org.pollensill.link.LinkClass;
import org.pollensill.settings.Effective;
import org.pollensill.settings.LinkValues;

/**
 * This process's shares of the links from its region to the others. Inbound traffic is budgeted as well, so that no
 * request is sent whose answer would not fit.
 */
final class RegionLinks {

    /** Frame and header bytes of a forwarded message. */
    private static final int OVERHEAD_BYTES = 512;

    private final String region;
    private final IntSupplier entryHostCount;
    private final Map<String, Link> links = new HashMap<>();
    private final Map<String, AnswerSize> answerSizes = new HashMap<>();

    private static final class Link {
        private final LinkBudget outbound;
        private final LinkBudget inbound;
        private LinkValues values;
        private int hostCount;

        Link(LinkValues values, int hostCount, long nowNs) {
            this.values = values;
            this.hostCount = hostCount;
            outbound = LinkBudget.of(values.bytesPerSecond(), values.controlPercent(), hostCount, nowNs);
            inbound = LinkBudget.of(values.bytesPerSecond(), values.controlPercent(), hostCount, nowNs);
        }

        void update(LinkValues newValues, int newHostCount, long nowNs) {
            if (!newValues.equals(values) || newHostCount != hostCount) {
                values = newValues;
                hostCount = newHostCount;
                outbound.update(newValues.bytesPerSecond(), newValues.controlPercent(), newHostCount, nowNs);
                inbound.update(newValues.bytesPerSecond(), newValues.controlPercent(), newHostCount, nowNs);
            }
        }
    }

    /**
     * Creates the links.
     *
     * @param region the local region
     * @param entryHostCount number of entry hosts of the region that share each link
     */
    RegionLinks(String region, IntSupplier entryHostCount) {
        this.region = Objects.requireNonNull(region, "region is null");
        this.entryHostCount = Objects.requireNonNull(entryHostCount, "entryHostCount is null");
    }

    /** Returns whether the link to a region has capacity for a request and its expected answer. */
    synchronized boolean canAcquire(
            Effective settings, String toRegion, CallerRequest request, LinkClass linkClass, long nowNs) {
        Link link = link(settings, toRegion, nowNs);
        return link.outbound.canAcquire(linkClass, requestBytes(request), nowNs)
                && link.inbound.canAcquire(linkClass, answerBytes(request), nowNs);
    }

    /** Reserves the bytes of a request and its expected answer. Returns false if they do not fit. */
    synchronized boolean tryAcquire(
            Effective settings, String toRegion, CallerRequest request, LinkClass linkClass, long nowNs) {
        if (!canAcquire(settings, toRegion, request, linkClass, nowNs)) {
            return false;
        }
        Link link = link(settings, toRegion, nowNs);
        link.outbound.tryAcquire(linkClass, requestBytes(request), nowNs);
        link.inbound.tryAcquire(linkClass, answerBytes(request), nowNs);
        return true;
    }

    /** Counts control traffic to a region. */
    synchronized void recordControl(Effective settings, String toRegion, long bytes, long nowNs) {
        link(settings, toRegion, nowNs).outbound.recordControl(bytes, nowNs);
    }

    /** Counts an answer to a request that was forwarded from another region. */
    synchronized void recordAnswer(Effective settings, String toRegion, LinkClass linkClass, long bytes, long nowNs) {
        link(settings, toRegion, nowNs).outbound.recordAnswer(linkClass, bytes + OVERHEAD_BYTES, nowNs);
    }

    /** Updates the mean answer size of the kind of a request. */
    synchronized void recordAnswerSize(CallerRequest request, long bytes) {
        answerSizes.computeIfAbsent(key(request), key -> new AnswerSize()).add(bytes);
    }

    private Link link(Effective settings, String toRegion, long nowNs) {
        LinkValues values = settings.link(region, toRegion);
        int count = Math.max(1, entryHostCount.getAsInt());
        Link link = links.computeIfAbsent(toRegion, key -> new Link(values, count, nowNs));
        link.update(values, count, nowNs);
        return link;
    }

    private static long requestBytes(CallerRequest request) {
        return OVERHEAD_BYTES + request.http().body().length;
    }

    private long answerBytes(CallerRequest request) {
        AnswerSize answerSize = answerSizes.get(key(request));
        return OVERHEAD_BYTES + (answerSize == null ? 0 : answerSize.meanBytes());
    }

    private static String key(CallerRequest request) {
        return request.service() + "/" + request.description().kind();
    }
}
