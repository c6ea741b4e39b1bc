/**
 * Access to the platform's key-value service: client interface, platform adapter, leases, reader
 * election and configuration reader.
 */
package io.foxtaildoor.process.platform;
