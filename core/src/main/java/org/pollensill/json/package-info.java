/** Reading and writing of JSON by the streaming parser, without data binding. */
package org.pollensill.json;
