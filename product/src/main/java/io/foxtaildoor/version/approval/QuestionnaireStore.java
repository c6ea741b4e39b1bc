package io.foxtaildoor.version.approval;

import com.google.protobuf.InvalidProtocolBufferException;
import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.common.MemberId;
import io.foxtaildoor.common.TeamId;
import io.foxtaildoor.process.platform.PlatformClient;
import io.foxtaildoor.process.platform.PlatformEntry;
import io.foxtaildoor.process.platform.PlatformReads;
import io.foxtaildoor.process.platform.ReconcilingWriter;
import io.foxtaildoor.protocol.QuestionnaireRecord;
import io.foxtaildoor.protocol.QuestionnaireRevision;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Reads and writes questionnaire records on the platform. */
final class QuestionnaireStore {
  /** A questionnaire record at a revision of its key; empty before the first submission. */
  record StoredQuestionnaire(long keyRevision, QuestionnaireRecord record) {
    /** Returns the latest revision of the questionnaire. */
    Optional<QuestionnaireRevision> latest() {
      int count = record.getRevisionsCount();
      return count == 0 ? Optional.empty() : Optional.of(record.getRevisions(count - 1));
    }

    boolean belongsToAnotherMember(MemberId member) {
      return latest().isPresent() && !record.getMember().equals(member.value());
    }
  }

  private final PlatformReads reads;
  private final ReconcilingWriter writer;
  private final int historyRevisions;

  QuestionnaireStore(PlatformReads reads, ReconcilingWriter writer, int historyRevisions) {
    this.reads = reads;
    this.writer = writer;
    this.historyRevisions = historyRevisions;
  }

  private static String key(TeamId team) {
    return "questionnaire/" + team;
  }

  CompletableFuture<StoredQuestionnaire> read(TeamId team) {
    return reads.get(key(team)).thenApply(QuestionnaireStore::parse);
  }

  /** Reads a record owned by the operator's member; fails when it is absent or owned by another. */
  CompletableFuture<StoredQuestionnaire> readOwned(Operator operator, TeamId team) {
    return read(team).thenApply(stored -> requireOwned(stored, operator, team));
  }

  private static StoredQuestionnaire requireOwned(
      StoredQuestionnaire stored, Operator operator, TeamId team) {
    if (stored.latest().isEmpty()) {
      throw new FoxtaildoorException(ErrorKind.NOT_FOUND, "team " + team + " has no questionnaire");
    }
    requireNotOwnedByAnotherMember(stored, operator, team);
    return stored;
  }

  /** Checks that a record, if it exists, is owned by the operator's member. */
  static void requireNotOwnedByAnotherMember(
      StoredQuestionnaire stored, Operator operator, TeamId team) {
    if (stored.belongsToAnotherMember(operator.member())) {
      throw new FoxtaildoorException(
          ErrorKind.FORBIDDEN, "team " + team + " belongs to another member");
    }
  }

  private static StoredQuestionnaire parse(PlatformEntry entry) {
    try {
      return new StoredQuestionnaire(
          entry.revision(),
          entry.exists()
              ? QuestionnaireRecord.parseFrom(entry.value())
              : QuestionnaireRecord.getDefaultInstance());
    } catch (InvalidProtocolBufferException e) {
      throw new FoxtaildoorException(
          ErrorKind.INTERNAL, "the record " + entry.key() + " on the platform cannot be parsed", e);
    }
  }

  /**
   * Appends a revision to the record as it was read. Returns the stored record, or empty when
   * another operator wrote the record first.
   */
  CompletableFuture<Optional<StoredQuestionnaire>> append(
      TeamId team, StoredQuestionnaire previous, QuestionnaireRevision revision) {
    byte[] value = appendRevision(team, previous.record(), revision).toByteArray();
    if (value.length > PlatformClient.MAX_VALUE_BYTES) {
      throw new FoxtaildoorException(
          ErrorKind.INVALID_INPUT,
          "the questionnaire exceeds the value size limit of the platform");
    }
    return writer
        .write(
            key(team),
            previous.keyRevision(),
            value,
            entry -> containsWriteId(parse(entry).record(), revision.getWriteId()))
        .thenApply(
            outcome ->
                outcome instanceof ReconcilingWriter.Outcome.Written written
                    ? Optional.of(parse(written.entry()))
                    : Optional.empty());
  }

  private static boolean containsWriteId(QuestionnaireRecord record, String writeId) {
    return record.getRevisionsList().stream().anyMatch(r -> r.getWriteId().equals(writeId));
  }

  /**
   * Returns the record with the revision added. Drops the oldest revisions while the record exceeds
   * the maximum number of revisions or the size limit of a platform value.
   */
  private QuestionnaireRecord appendRevision(
      TeamId team, QuestionnaireRecord previous, QuestionnaireRevision revision) {
    QuestionnaireRecord.Builder next =
        previous.toBuilder()
            .setTeam(team.value())
            .setMember(revision.getMember())
            .addRevisions(revision);
    while (next.getRevisionsCount() > historyRevisions
        || (next.getRevisionsCount() > 1
            && next.build().getSerializedSize() > PlatformClient.MAX_VALUE_BYTES)) {
      next.removeRevisions(0);
    }
    return next.build();
  }
}
