/** Entry daemon: performs the I/O between callers, peers and upstreams; the decision logic is in {@code core}. */
package org.pollensill.entry;
