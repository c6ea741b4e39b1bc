/** Tests of the platform stand-in. */
package io.foxtaildoor.standins.platform;
