/** Parsing and generation of JSON with the streaming API, without data binding. */
package org.pollensill.json;
