/** Tests of the passage to the local upstream. */
package io.foxtaildoor.connection.upstream;
