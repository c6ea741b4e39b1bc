/** Retry budget and the decision whether a failed request is retried, without I/O or a clock. */
package io.foxtaildoor.request.retry;
