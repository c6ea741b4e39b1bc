/** Tests and measurements of the held version. */
package io.foxtaildoor.version.manifest;
