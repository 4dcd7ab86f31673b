/** Batch scheduling: jobs, tasks, the log of a shard, placement, eviction, team quotas and recovery. */
package org.pollensill.batch;
