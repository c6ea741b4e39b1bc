/** Configuration versions: manifests, snapshots and the checks before a node applies a version. */
package io.foxtaildoor.version.manifest;
