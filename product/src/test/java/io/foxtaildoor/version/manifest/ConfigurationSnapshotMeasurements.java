package io.foxtaildoor.version.manifest;

import io.foxtaildoor.common.Digest;
import io.foxtaildoor.version.distribution.VersionSequence;
import java.util.HashMap;
import java.util.Map;

/** Command-line program that measures the heap usage per service of one configuration snapshot. */
public final class ConfigurationSnapshotMeasurements {
  private static final int SERVICES = 810;
  private static final int SNAPSHOTS = 20;

  private ConfigurationSnapshotMeasurements() {}

  /** Prints the measurements, averaged over several independent snapshots to reduce noise. */
  public static void main(String[] args) throws InterruptedException {
    long contents = buildSnapshot().parts().values().stream().mapToLong(part -> part.length).sum();
    ConfigurationSnapshot[] snapshots = new ConfigurationSnapshot[SNAPSHOTS];
    long before = usedHeapBytes();
    for (int i = 0; i < SNAPSHOTS; i++) {
      snapshots[i] = buildSnapshot();
    }
    long heap = (usedHeapBytes() - before) / SNAPSHOTS;
    System.out.printf(
        "%d services: part %d bytes, heap %d bytes for each service (%d versions held)%n",
        SERVICES, contents / SERVICES, heap / SERVICES, snapshots.length);
  }

  private static ConfigurationSnapshot buildSnapshot() {
    VersionSequence versions = new VersionSequence(SERVICES).change(0);
    Map<Digest, byte[]> received = new HashMap<>();
    versions.parts().forEach((digest, content) -> received.put(digest, content.clone()));
    return ConfigurationSnapshot.build(Manifest.of(versions.head()), received);
  }

  private static long usedHeapBytes() throws InterruptedException {
    for (int i = 0; i < 4; i++) {
      System.gc();
      Thread.sleep(100);
    }
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }
}
