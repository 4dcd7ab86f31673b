/** Measurements of how the cost of settings operations depends on the size of the tree. */
package org.pollensill.bench.settings;
