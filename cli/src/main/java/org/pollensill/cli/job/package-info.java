/** Commands for jobs and tasks. */
package org.pollensill.cli.job;
