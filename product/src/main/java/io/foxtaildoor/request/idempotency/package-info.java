/** Memory of keyed requests: on the caller's node where they were sent, on the owner what ran. */
package io.foxtaildoor.request.idempotency;
