/** Checks of what must always hold, called by the running node itself. */
package io.foxtaildoor.process.invariant;
