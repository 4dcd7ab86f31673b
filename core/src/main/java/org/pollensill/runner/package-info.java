/** Runners: their published entries, clocks, leases and reports, and the orders that they receive. */
package org.pollensill.runner;
