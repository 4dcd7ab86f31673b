/** Availability zones that the operator empties: what a leader knows of them, and when they take work again. */
package org.pollensill.evacuation;
