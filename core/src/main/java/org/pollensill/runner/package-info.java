/** Runners: what they say of themselves, their clocks and leases, and the orders that they take. */
package org.pollensill.runner;
