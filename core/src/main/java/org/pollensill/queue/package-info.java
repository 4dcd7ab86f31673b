/** Queues that clients submit jobs to, as configured by the operator. */
package org.pollensill.queue;
