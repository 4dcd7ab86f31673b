/** Batch scheduler daemon: carries out the effects of the shard owners. */
package org.pollensill.scheduler;
