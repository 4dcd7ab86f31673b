/** Check of an operator's configuration before it is sent. */
package org.pollensill.configuration;
