package io.foxtaildoor.version.distribution;

import io.foxtaildoor.version.manifest.VersionStamp;

/** Sends version notices to random nodes; must not block. */
@FunctionalInterface
public interface NoticeSender {
  /**
   * Sends one notice to each of some random nodes.
   *
   * @param fanout number of nodes
   */
  void sendNotices(VersionStamp stamp, int fanout);
}
