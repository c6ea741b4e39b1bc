/**
 * Heads of HTTP messages: a compact list of headers, and the headers that are not forwarded. Shared
 * by the connections of callers and upstreams.
 */
package io.foxtaildoor.connection.head;
