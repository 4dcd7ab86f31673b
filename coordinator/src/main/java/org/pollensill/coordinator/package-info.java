/**
 * The daemon of the users' platform: answers clients, and schedules while it holds the leader lease. Everything runs on
 * one event loop, so its tables need no locks.
 */
package org.pollensill.coordinator;
