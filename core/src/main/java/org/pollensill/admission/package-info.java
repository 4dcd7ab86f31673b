/** Whether a job is accepted, and when a caller that is turned away should come back. */
package org.pollensill.admission;
