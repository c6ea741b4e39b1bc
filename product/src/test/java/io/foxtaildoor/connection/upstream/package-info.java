/** Tests of how requests are forwarded to the local upstream. */
package io.foxtaildoor.connection.upstream;
