package io.foxtaildoor.process.platform;

import io.netty.handler.codec.http.HttpMethod;

/**
 * One HTTP request to the platform.
 *
 * @param target path and query
 * @param body JSON document, or empty for a request without a body
 * @param changesState whether the request may change state on the platform
 * @param waitNanos time in nanoseconds for which the platform may delay the response, as for a
 *     watch
 */
@SuppressWarnings("ArrayRecordComponent") // Bodies are only sent, never compared.
public record PlatformRequest(
    HttpMethod method, String target, byte[] body, boolean changesState, long waitNanos) {}
