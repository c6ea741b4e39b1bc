/** Configuration versions: the manifest, the held version and the check before it is applied. */
package io.foxtaildoor.version.manifest;
