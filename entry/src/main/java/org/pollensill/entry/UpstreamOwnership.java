package org.pollensill.entry;

/** Determines which upstreams of the zone this process may use. Upstreams are owned in groups called slices. */
interface UpstreamOwnership {

    /**
     * Returns the number of slices.
     *
     * @return the number
     */
    int slices();

    /**
     * Returns the slice of an upstream.
     *
     * @param upstream the upstream's name
     * @return the slice's number
     */
    int slice(String upstream);

    /**
     * Returns this process's grant for a slice. Checked again right before each dispatch is written.
     *
     * @param slice the slice's number
     * @param nowNs current time
     * @return the grant
     */
    SliceGrant grant(int slice, long nowNs);
}
