/**
 * Admission of requests to one upstream: queues by rank, adaptive concurrency limit and allocation
 * of slots.
 */
package io.foxtaildoor.request.admission;
