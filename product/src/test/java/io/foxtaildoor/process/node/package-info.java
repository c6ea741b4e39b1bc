/** Failure tests of whole processes: nodes, platform stand-in and upstream stand-ins. */
package io.foxtaildoor.process.node;
