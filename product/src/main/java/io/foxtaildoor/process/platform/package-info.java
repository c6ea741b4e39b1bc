/** The platform's key-value service: client interface, its adapter, leases and reader election. */
package io.foxtaildoor.process.platform;
