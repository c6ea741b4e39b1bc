/** Spreads configuration versions between nodes: notices, pulls of differences and repair. */
package io.foxtaildoor.version.distribution;
