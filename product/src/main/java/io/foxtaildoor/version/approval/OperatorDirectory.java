package io.foxtaildoor.version.approval;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.foxtaildoor.common.Digest;
import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.common.MemberId;
import io.foxtaildoor.process.platform.PlatformClient;
import io.foxtaildoor.process.platform.PlatformEntry;
import io.foxtaildoor.process.platform.PlatformReads;
import io.foxtaildoor.process.platform.ReconcilingWriter;
import io.foxtaildoor.protocol.OperatorRecord;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.concurrent.CompletableFuture;

/** Reads and creates the records of operators on the platform; each holds the hash of a token. */
final class OperatorDirectory {
  /** Maximum length of a token in characters. */
  private static final int MAX_TOKEN_CHARS = 512;

  private final PlatformReads reads;
  private final ReconcilingWriter writer;

  OperatorDirectory(PlatformReads reads, ReconcilingWriter writer) {
    this.reads = reads;
    this.writer = writer;
  }

  private static String key(String name) {
    return "operator/" + name;
  }

  /**
   * Authenticates the operator by credentials of the form {@code <name>:<token>}. The future fails
   * with {@link ErrorKind#UNAUTHENTICATED} when the name is unknown or the token is wrong.
   */
  CompletableFuture<Operator> authenticate(String credentials) {
    int colon = credentials.indexOf(':');
    if (colon < 0 || credentials.length() - colon - 1 > MAX_TOKEN_CHARS) {
      return CompletableFuture.failedFuture(unauthenticated());
    }
    String name = credentials.substring(0, colon);
    if (!Operator.isValidName(name)) {
      return CompletableFuture.failedFuture(unauthenticated());
    }
    Digest hash = Digest.of(credentials.substring(colon + 1).getBytes(StandardCharsets.UTF_8));
    return reads.get(key(name)).thenApply(entry -> verifyToken(entry, hash));
  }

  private static Operator verifyToken(PlatformEntry entry, Digest hash) {
    OperatorRecord operator = parse(entry);
    // The record of an absent operator has an empty hash, which matches no token.
    if (!MessageDigest.isEqual(operator.getTokenSha256().toByteArray(), hash.bytes())) {
      throw unauthenticated();
    }
    return new Operator(operator.getName(), new MemberId(operator.getMember()));
  }

  private static FoxtaildoorException unauthenticated() {
    return new FoxtaildoorException(
        ErrorKind.UNAUTHENTICATED, "the operator's name or token is wrong");
  }

  private static OperatorRecord parse(PlatformEntry entry) {
    try {
      return entry.exists()
          ? OperatorRecord.parseFrom(entry.value())
          : OperatorRecord.getDefaultInstance();
    } catch (InvalidProtocolBufferException e) {
      throw new FoxtaildoorException(
          ErrorKind.INTERNAL, "the record " + entry.key() + " on the platform cannot be parsed", e);
    }
  }

  /**
   * Creates the record of an operator. Succeeds as well when a record with the same member and
   * token hash exists; another existing record fails with {@link ErrorKind#CONFLICT}.
   */
  CompletableFuture<Operator> create(
      Operator operator, Digest tokenHash, long epochMillis, String writeId) {
    OperatorRecord created =
        OperatorRecord.newBuilder()
            .setName(operator.name())
            .setMember(operator.member().value())
            .setTokenSha256(ByteString.copyFrom(tokenHash.bytes()))
            .setCreatedEpochMillis(epochMillis)
            .setWriteId(writeId)
            .build();
    return writer
        .write(
            key(operator.name()),
            PlatformClient.ABSENT_REVISION,
            created.toByteArray(),
            entry -> hasSameMemberAndToken(parse(entry), created))
        .thenApply(
            outcome -> {
              if (outcome instanceof ReconcilingWriter.Outcome.Written) {
                return operator;
              }
              throw new FoxtaildoorException(
                  ErrorKind.CONFLICT,
                  "the operator "
                      + operator.name()
                      + " already exists with another member or token");
            });
  }

  private static boolean hasSameMemberAndToken(OperatorRecord existing, OperatorRecord created) {
    return existing.getMember().equals(created.getMember())
        && existing.getTokenSha256().equals(created.getTokenSha256());
  }
}
