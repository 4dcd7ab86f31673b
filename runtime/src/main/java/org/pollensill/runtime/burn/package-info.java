/** I/O of service-level burn: counter writes, folding, alerts and the report. */
package org.pollensill.runtime.burn;
