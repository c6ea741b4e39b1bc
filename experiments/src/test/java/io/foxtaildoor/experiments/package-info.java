/** Measures real processes on loopback. */
package io.foxtaildoor.experiments;
