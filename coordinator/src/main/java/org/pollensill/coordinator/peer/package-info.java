/** Connections between coordinators: length-prefixed protobuf over TCP, with replies matched to calls by id. */
package org.pollensill.coordinator.peer;
