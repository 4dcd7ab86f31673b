/** Queues that clients hand jobs to, as the operator configures them. */
package org.pollensill.queue;
