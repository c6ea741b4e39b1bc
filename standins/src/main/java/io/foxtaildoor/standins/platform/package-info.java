/** Stand-in for the key-value service of the platform, with faults that can be injected. */
package io.foxtaildoor.standins.platform;
