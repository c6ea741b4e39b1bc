/** Retry budget and the decision whether a failed request is sent again; no I/O, no clock. */
package io.foxtaildoor.request.retry;
