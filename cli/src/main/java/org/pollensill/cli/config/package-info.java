/** Commands on the operator's configuration of the users' platform. */
package org.pollensill.cli.config;
