/** I/O of service-level burn: counter writes, archiving, alerts and the report. */
package org.pollensill.runtime.burn;
