/** State that the scheduler keeps of workers: capacity, leases in the worker's clock, usage estimates, quarantine. */
package org.pollensill.worker;
