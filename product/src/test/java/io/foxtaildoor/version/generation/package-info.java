/** Tests of {@code io.foxtaildoor.version.generation}. */
package io.foxtaildoor.version.generation;
