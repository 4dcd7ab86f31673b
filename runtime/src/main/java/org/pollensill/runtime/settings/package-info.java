/** I/O of the settings: reads of the store, replication between peers and operators' calls. */
package org.pollensill.runtime.settings;
