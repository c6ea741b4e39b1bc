/** Where keyed requests were dispatched, so that a repeat reaches the node that knows the key. */
package io.foxtaildoor.request.idempotency;
