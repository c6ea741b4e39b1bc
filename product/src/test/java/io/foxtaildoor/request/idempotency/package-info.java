/** Tests of the remembered keys. */
package io.foxtaildoor.request.idempotency;
