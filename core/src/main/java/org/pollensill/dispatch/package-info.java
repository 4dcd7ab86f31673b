/**
 * Decides which task starts on which runner and when, and what follows from what runners report. Plain code without
 * I/O on one thread: time and messages come in, orders and records go out.
 */
package org.pollensill.dispatch;
