/** Connections between coordinators: framed protobuf over TCP, calls paired with their replies. */
package org.pollensill.coordinator.peer;
