/** HTTP/1.1 listener for callers: checks requests, sends them on links and returns the answers. */
package io.foxtaildoor.connection.caller;
