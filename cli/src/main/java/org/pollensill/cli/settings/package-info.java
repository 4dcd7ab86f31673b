/** Commands for reading and changing the settings tree. */
package org.pollensill.cli.settings;
