/** Jobs of several steps, their tasks and their stored form. */
package org.pollensill.job;
