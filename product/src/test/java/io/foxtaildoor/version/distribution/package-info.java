/** Tests and measurements of the configuration distribution. */
package io.foxtaildoor.version.distribution;
