/** The leader lease, stored as a row of the table service, and the fenced commits of its holder. */
package org.pollensill.leader;
