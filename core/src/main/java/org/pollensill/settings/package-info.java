/** Settings tree: validation, inheritance, shifts, changes, revisions and replication. */
package org.pollensill.settings;
