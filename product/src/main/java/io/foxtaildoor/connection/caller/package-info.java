/**
 * HTTP/1.1 listener for callers: validates requests, forwards them over links and returns the
 * responses.
 */
package io.foxtaildoor.connection.caller;
