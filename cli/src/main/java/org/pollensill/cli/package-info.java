/** The command-line tool for operators. */
package org.pollensill.cli;
