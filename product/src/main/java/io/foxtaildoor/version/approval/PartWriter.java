package io.foxtaildoor.version.approval;

import io.foxtaildoor.common.Digest;
import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.process.platform.PlatformClient;
import io.foxtaildoor.process.platform.PlatformReads;
import io.foxtaildoor.process.platform.SettledWriter;
import io.foxtaildoor.protocol.RetiredPart;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Writes parts and removes those that were replaced long ago.
 *
 * <p>An approval may accept a part again while another one removes it. So the remover reads the
 * part's revision before it writes the head without the part, and removes only that revision; the
 * accepter writes the part after it has read the head, even when the part exists. If the accepter
 * read the head before the remover wrote it, its own write of the head fails. Otherwise it wrote
 * the part after the remover read the revision, and the removal fails or precedes that write.
 */
final class PartWriter {
  private static final System.Logger LOG = System.getLogger(PartWriter.class.getName());

  /** Writes of a part that may find it changed or removed since its revision was read. */
  private static final int MAX_ATTEMPTS = 4;

  private final PlatformClient platform;
  private final PlatformReads reads;
  private final SettledWriter writer;

  PartWriter(PlatformClient platform, PlatformReads reads, SettledWriter writer) {
    this.platform = platform;
    this.reads = reads;
    this.writer = writer;
  }

  /** Writes a part; completes when it was written after this call. */
  CompletableFuture<Void> write(Digest digest, byte[] content) {
    // Most parts are new, so the first write expects none and needs no reading before it. A part
    // that exists may have been written before this call, so it is no evidence of this write.
    return writer
        .write(
            AcceptedConfigurationReader.partKey(digest),
            PlatformClient.ABSENT_REVISION,
            content,
            present -> false)
        .thenCompose(outcome -> retryUnlessWritten(outcome, digest, content, 2));
  }

  private CompletableFuture<Void> retryUnlessWritten(
      SettledWriter.Outcome outcome, Digest digest, byte[] content, int attempt) {
    if (!(outcome instanceof SettledWriter.Outcome.Superseded superseded)) {
      return CompletableFuture.completedFuture(null);
    }
    if (attempt > MAX_ATTEMPTS) {
      throw new FoxtaildoorException(
          ErrorKind.PLATFORM_UNAVAILABLE, "the part cannot be kept on the platform");
    }
    return writer
        .write(
            AcceptedConfigurationReader.partKey(digest),
            superseded.present().revision(),
            content,
            // Whoever wrote the part since, it has been written after this call.
            later -> AcceptedConfigurationReader.hasContent(later, digest))
        .thenCompose(next -> retryUnlessWritten(next, digest, content, attempt + 1));
  }

  /**
   * Chooses retired parts to remove and reads their revisions. Parts whose revision cannot be read
   * stay for a later approval.
   *
   * @param newVersion version of the head that will no longer list them
   * @return revisions of the chosen parts; {@link PlatformClient#ABSENT_REVISION} for those that
   *     are gone already
   */
  CompletableFuture<Map<Digest, Long>> chooseRemovals(
      AcceptedHead head, Digest accepted, long newVersion, ApprovalSettings settings) {
    List<Digest> old =
        head.record().getRetiredPartsList().stream()
            .filter(p -> newVersion - p.getRetiredAtVersion() > settings.retainedVersions())
            .map(RetiredPart::getDigest)
            .map(bytes -> Digest.ofBytes(bytes.toByteArray()))
            .filter(digest -> !digest.equals(accepted))
            .filter(digest -> !head.manifest().entries().containsValue(digest))
            .limit(settings.removalsPerApproval())
            .toList();
    Map<Digest, Long> revisions = new ConcurrentHashMap<>();
    CompletableFuture<?>[] lookups =
        old.stream()
            .map(
                digest ->
                    reads
                        .get(AcceptedConfigurationReader.partKey(digest))
                        .thenAccept(entry -> revisions.put(digest, entry.revision()))
                        .exceptionally(error -> null))
            .toArray(CompletableFuture<?>[]::new);
    return CompletableFuture.allOf(lookups).thenApply(done -> revisions);
  }

  /** Removes parts at their revisions; a failure leaves a part behind, which does no harm. */
  void removeParts(Map<Digest, Long> revisions) {
    revisions.forEach(
        (digest, revision) -> {
          if (revision != PlatformClient.ABSENT_REVISION) {
            var unused =
                platform
                    .compareAndDelete(AcceptedConfigurationReader.partKey(digest), revision)
                    .thenAccept(
                        result -> LOG.log(System.Logger.Level.DEBUG, "removal: {0}", result));
          }
        });
  }
}
