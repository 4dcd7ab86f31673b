/** Membership of a role in an availability zone and ownership of its slices, as state machines without I/O. */
package org.pollensill.zone;
