/**
 * Forwards the request streams that other nodes open to the local upstream, over a pool of HTTP/1.1
 * connections.
 */
package io.foxtaildoor.connection.upstream;
