/** Admission of requests to one upstream: queues by rank, concurrency limit, slot decisions. */
package io.foxtaildoor.request.admission;
