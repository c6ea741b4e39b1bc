/** Stand-in for the platform's key-value service with faults that can be switched on. */
package io.foxtaildoor.standins.platform;
