/** Jobs, their steps and tasks, and the stored form of their progress. */
package org.pollensill.job;
