package org.pollensill.upstream;

import java.util.Arrays;
import java.util.Objects;

/**
 * Unordered set of the upstreams that have a free slot for one kind. Adding, removing and access by position, as for a
 * random sample, take constant time.
 */
public final class UpstreamSet {

    private final int kind;
    private Upstream[] members = new Upstream[16];
    private int size;

    UpstreamSet(int kind) {
        this.kind = kind;
    }

    /**
     * Returns the number of members.
     *
     * @return the number of members
     */
    public int size() {
        return size;
    }

    /**
     * Returns a member.
     *
     * @param position position from 0 to {@code size() - 1}
     * @return the member
     */
    public Upstream get(int position) {
        return members[Objects.checkIndex(position, size)];
    }

    void setMember(Upstream upstream, boolean member) {
        int position = upstream.positionByKind[kind];
        if (member == (position >= 0)) {
            return;
        }
        if (member) {
            if (size == members.length) {
                members = Arrays.copyOf(members, size * 2);
            }
            members[size] = upstream;
            upstream.positionByKind[kind] = size++;
            return;
        }
        Upstream last = members[--size];
        members[position] = last;
        last.positionByKind[kind] = position;
        members[size] = null;
        upstream.positionByKind[kind] = -1;
    }
}
