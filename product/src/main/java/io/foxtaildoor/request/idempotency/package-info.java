/**
 * Tracking of requests with idempotency keys: the caller's node tracks where they were sent, the
 * owner of a key tracks which requests ran.
 */
package io.foxtaildoor.request.idempotency;
