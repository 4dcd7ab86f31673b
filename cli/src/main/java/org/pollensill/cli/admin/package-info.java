/** Client for the admin listeners of the daemons, and the commands that show the state of daemons. */
package org.pollensill.cli.admin;
