/**
 * Distributes configuration versions between nodes: notices, pulls of differences, and recovery of
 * nodes that missed versions.
 */
package io.foxtaildoor.version.distribution;
