/** Tests of the upstream stand-in. */
package io.foxtaildoor.standins.upstream;
