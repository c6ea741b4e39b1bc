/** Experiments that start nodes and stand-ins as processes on loopback and measure them. */
package io.foxtaildoor.experiments;
