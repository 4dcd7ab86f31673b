/** When a call counts as unanswered, and how many calls may be repeated. */
package org.pollensill.retry;
