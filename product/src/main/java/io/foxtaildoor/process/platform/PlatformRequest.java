package io.foxtaildoor.process.platform;

import io.netty.handler.codec.http.HttpMethod;

/**
 * One request to the platform.
 *
 * @param target path and query
 * @param body JSON document; empty for none
 * @param write whether the request may change state
 * @param waitNanos time for which the platform may hold the answer back
 */
@SuppressWarnings("ArrayRecordComponent") // The body is sent, never compared.
public record PlatformRequest(
    HttpMethod method, String target, byte[] body, boolean write, long waitNanos) {}
