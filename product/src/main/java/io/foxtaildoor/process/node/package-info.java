/** Assembles the parts of a node process, starts them and stops them gracefully. */
package io.foxtaildoor.process.node;
