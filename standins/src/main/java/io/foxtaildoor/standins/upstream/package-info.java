/**
 * Stand-in of an upstream: a small HTTP server with a limited number of slots, faults that can be
 * injected, and a record of the requests that it executed.
 */
package io.foxtaildoor.standins.upstream;
