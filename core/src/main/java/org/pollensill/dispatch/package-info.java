/**
 * Scheduling core of the leader: places tasks on runners, tracks their runs by lease renewals and reports, and recovers
 * lost runs. It is single-threaded and performs no I/O: times and messages are its input, orders and writes its output.
 */
package org.pollensill.dispatch;
