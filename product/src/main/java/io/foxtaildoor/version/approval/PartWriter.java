package io.foxtaildoor.version.approval;

import io.foxtaildoor.common.Digest;
import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.process.platform.PlatformClient;
import io.foxtaildoor.process.platform.PlatformReads;
import io.foxtaildoor.process.platform.ReconcilingWriter;
import io.foxtaildoor.protocol.RetiredPart;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Writes parts to the platform and removes retired parts, which were replaced by a newer one.
 *
 * <p>One approval may accept a retired part again while another approval removes it. Two rules make
 * this safe. The removing approval reads the revision of the part before it writes the head that no
 * longer lists it, and removes only that revision. The accepting approval writes the part after it
 * has read the head, even if the part exists already. If it read the head before the other approval
 * wrote it, its own write of the head fails. Otherwise it wrote the part after the other approval
 * had read the revision, so the removal either fails or happens before that write.
 */
final class PartWriter {
  private static final System.Logger LOG = System.getLogger(PartWriter.class.getName());

  /** Maximum number of attempts to write a part that is changed or removed concurrently. */
  private static final int MAX_ATTEMPTS = 4;

  private final PlatformClient platform;
  private final PlatformReads reads;
  private final ReconcilingWriter writer;

  PartWriter(PlatformClient platform, PlatformReads reads, ReconcilingWriter writer) {
    this.platform = platform;
    this.reads = reads;
    this.writer = writer;
  }

  /** Writes a part. Completes once the part was written after the start of this call. */
  CompletableFuture<Void> write(Digest digest, byte[] content) {
    // Most parts are new, so the first attempt expects the key to be absent, which saves a read. A
    // part that exists may have been written before this call, so it does not prove that this write
    // took effect.
    return writer
        .write(
            AcceptedConfigurationReader.partKey(digest),
            PlatformClient.ABSENT_REVISION,
            content,
            existing -> false)
        .thenCompose(outcome -> retryUnlessWritten(outcome, digest, content, 2));
  }

  private CompletableFuture<Void> retryUnlessWritten(
      ReconcilingWriter.Outcome outcome, Digest digest, byte[] content, int attempt) {
    if (!(outcome instanceof ReconcilingWriter.Outcome.Superseded superseded)) {
      return CompletableFuture.completedFuture(null);
    }
    if (attempt > MAX_ATTEMPTS) {
      throw new FoxtaildoorException(
          ErrorKind.PLATFORM_UNAVAILABLE,
          "the part could not be written because it kept changing on the platform");
    }
    return writer
        .write(
            AcceptedConfigurationReader.partKey(digest),
            superseded.present().revision(),
            content,
            // A part with this content was written after this call, by this or by another request.
            entry -> AcceptedConfigurationReader.hasContent(entry, digest))
        .thenCompose(next -> retryUnlessWritten(next, digest, content, attempt + 1));
  }

  /**
   * Selects the retired parts to remove and reads their revisions. Parts whose revision cannot be
   * read are left for a later approval.
   *
   * @param newVersion version of the head that will no longer list the parts
   * @return the revisions of the selected parts; {@link PlatformClient#ABSENT_REVISION} for parts
   *     that have been removed already
   */
  CompletableFuture<Map<Digest, Long>> chooseRemovals(
      AcceptedHead head, Digest acceptedDigest, long newVersion, ApprovalSettings settings) {
    List<Digest> removable =
        head.record().getRetiredPartsList().stream()
            .filter(part -> newVersion - part.getRetiredAtVersion() > settings.retainedVersions())
            .map(RetiredPart::getDigest)
            .map(bytes -> Digest.ofBytes(bytes.toByteArray()))
            .filter(digest -> !digest.equals(acceptedDigest))
            .filter(digest -> !head.manifest().entries().containsValue(digest))
            .limit(settings.removalsPerApproval())
            .toList();
    Map<Digest, Long> revisions = new ConcurrentHashMap<>();
    CompletableFuture<?>[] lookups =
        removable.stream()
            .map(
                digest ->
                    reads
                        .get(AcceptedConfigurationReader.partKey(digest))
                        .thenAccept(entry -> revisions.put(digest, entry.revision()))
                        .exceptionally(error -> null))
            .toArray(CompletableFuture<?>[]::new);
    return CompletableFuture.allOf(lookups).thenApply(done -> revisions);
  }

  /**
   * Removes the given revisions of parts. A failed removal leaves an unused part, which is
   * harmless.
   */
  void removeParts(Map<Digest, Long> revisions) {
    revisions.forEach(
        (digest, revision) -> {
          if (revision != PlatformClient.ABSENT_REVISION) {
            var unused =
                platform
                    .compareAndDelete(AcceptedConfigurationReader.partKey(digest), revision)
                    .thenAccept(
                        result ->
                            LOG.log(
                                System.Logger.Level.DEBUG,
                                "removal of a retired part: {0}",
                                result));
          }
        });
  }
}
