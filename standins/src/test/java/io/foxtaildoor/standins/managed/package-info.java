/** Tests of the stand-ins for a managed platform. */
package io.foxtaildoor.standins.managed;
