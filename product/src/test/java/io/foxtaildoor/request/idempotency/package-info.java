/** Tests of the memory of keyed requests. */
package io.foxtaildoor.request.idempotency;
