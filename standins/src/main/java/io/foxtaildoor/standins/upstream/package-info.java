/** Stand-in of an upstream: a small HTTP server with slots, faults on demand and a record. */
package io.foxtaildoor.standins.upstream;
