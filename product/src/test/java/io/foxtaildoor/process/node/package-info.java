/**
 * Failure tests with separate processes for the nodes, the platform stand-in and the upstream
 * stand-ins.
 */
package io.foxtaildoor.process.node;
