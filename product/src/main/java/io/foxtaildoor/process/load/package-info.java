/**
 * Open-loop load generator for HTTP/1.1, with reports. A plan in YAML, for example:
 *
 * <pre>
 * warmUp: 2s
 * duration: 10s
 * seed: 7
 * connectionsPerTarget: 40
 * streams:
 *   - name: availability
 *     url: http://127.0.0.1:8080/availability
 *     method: GET
 *     headers: {Host: bookings.pamoja}
 *     rank: URGENT
 *     ratePerSecond: 200
 *     arrival: POISSON
 *     deadline: 500ms
 *     echo: true
 * </pre>
 */
package io.foxtaildoor.process.load;
