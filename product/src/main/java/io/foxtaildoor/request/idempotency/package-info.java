/** Keys of requests that must run at most once, as the node of the upstream remembers them. */
package io.foxtaildoor.request.idempotency;
