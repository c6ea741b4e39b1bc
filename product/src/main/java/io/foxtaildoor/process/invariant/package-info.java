/** Invariants that a running node checks at run time. */
package io.foxtaildoor.process.invariant;
