/**
 * The coordinator daemon of the users' platform: serves client requests, and schedules jobs while it holds the leader
 * lease. All state is confined to one event loop, so no locks are needed.
 */
package org.pollensill.coordinator;
