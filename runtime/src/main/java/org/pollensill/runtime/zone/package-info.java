/** Runs zone membership and slice ownership over the peer transport and the table service. */
package org.pollensill.runtime.zone;
