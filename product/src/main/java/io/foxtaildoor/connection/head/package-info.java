/**
 * Heads of HTTP messages: a compact list of headers, the headers that are not forwarded, and the
 * decoder of the responses to a client. Shared by the connections of callers, upstreams and the
 * platform.
 */
package io.foxtaildoor.connection.head;
