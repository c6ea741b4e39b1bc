/** Tests of the tracking of requests with idempotency keys. */
package io.foxtaildoor.request.idempotency;
