package io.foxtaildoor.version.distribution;

import io.foxtaildoor.version.manifest.VersionStamp;

/** Sends version notices to random nodes. Implementations must not block. */
@FunctionalInterface
public interface NoticeSender {
  /**
   * Sends one notice to each of several randomly chosen nodes.
   *
   * @param fanout number of nodes to notify
   */
  void sendNotices(VersionStamp stamp, int fanout);
}
