package io.foxtaildoor.version.approval;

import static org.testng.Assert.assertTrue;

import io.foxtaildoor.common.Digest;
import io.foxtaildoor.common.MemberId;
import io.foxtaildoor.common.TeamId;
import io.foxtaildoor.process.audit.AuditSettings;
import io.foxtaildoor.process.audit.AuditTrail;
import io.foxtaildoor.process.invariant.Invariants;
import io.foxtaildoor.process.platform.FaultyPlatform;
import io.foxtaildoor.process.platform.PlatformEntry;
import io.foxtaildoor.process.platform.VirtualTime;
import io.foxtaildoor.version.manifest.ApplyResult;
import io.foxtaildoor.version.manifest.ConfigurationHolder;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

/** A fake platform in virtual time, and nodes that run one approval service each. */
final class ApprovalTestMesh {
  static final MemberId MEMBER = new MemberId("pamoja");
  static final Operator ADA = new Operator("ada", MEMBER);
  static final Operator BEN = new Operator("ben", MEMBER);
  static final TeamId RED = new TeamId("red");
  static final TeamId BLUE = new TeamId("blue");

  final Random random;
  final VirtualTime time;
  final FaultyPlatform platform;
  final Invariants invariants =
      new Invariants(
          (invariant, detail) -> {
            throw new AssertionError(invariant + ": " + detail);
          });
  ApprovalSettings settings = ApprovalSettings.defaults();

  ApprovalTestMesh(long seed) {
    random = new Random(seed);
    time = new VirtualTime(random);
    platform = new FaultyPlatform(time, random, 20);
  }

  /** One node, which applies each version confirmed through it immediately. */
  final class Node {
    final ConfigurationHolder holder = new ConfigurationHolder(invariants);
    final AuditTrail audit = new AuditTrail(platform, time, AuditSettings.defaults());
    final ApprovalService service =
        new ApprovalService(
            new ApprovalEnvironment(
                platform, audit, time, time, time::nowMillis, random, holder::current),
            settings,
            (manifest, parts) -> {
              ApplyResult applied = holder.offer(manifest.stamp(), manifest, parts);
              assertTrue(!(applied instanceof ApplyResult.Rejected), applied.toString());
            });

    CompletableFuture<OperatorResult<SubmissionReceipt>> submit(
        Operator operator, TeamId team, long revision, String document) {
      OptionalLong expected = revision == 0 ? OptionalLong.empty() : OptionalLong.of(revision);
      return service.submit(operator, team, expected, document);
    }

    /** Submits or amends a document and approves it, with no concurrent requests. */
    ApprovalReceipt submitAndApprove(
        Operator operator, TeamId team, long revision, String document) {
      SubmissionReceipt receipt = awaitSuccess(submit(operator, team, revision, document));
      return awaitSuccess(
          service.approve(operator, team, receipt.proposalDigest(), receipt.baseDigest()));
    }
  }

  /** Advances the time until a request completes, by at most 60 seconds. */
  <T> OperatorResult<T> awaitResult(CompletableFuture<OperatorResult<T>> request) {
    for (int i = 0; i < 600 && !request.isDone(); i++) {
      time.advance(Duration.ofMillis(100));
    }
    return request.join();
  }

  /** Advances the time until a request completes, and asserts that it succeeded. */
  <T> T awaitSuccess(CompletableFuture<OperatorResult<T>> request) {
    OperatorResult<T> result = awaitResult(request);
    assertTrue(result instanceof OperatorResult.Done, result.toString());
    return ((OperatorResult.Done<T>) result).value();
  }

  AcceptedHead head() {
    return AcceptedHead.parse(platform.entry(AcceptedHead.KEY));
  }

  /** Returns all heads written to the platform, in the order of their writes. */
  List<AcceptedHead> writtenHeads() {
    return platform.effectiveWrites().stream()
        .filter(entry -> entry.key().equals(AcceptedHead.KEY))
        .map(AcceptedHead::parse)
        .toList();
  }

  /** Returns the keys of all writes that took effect, except those of the audit trail. */
  List<String> effectiveWriteKeys() {
    return platform.effectiveWrites().stream()
        .map(PlatformEntry::key)
        .filter(key -> !key.startsWith("audit/"))
        .toList();
  }

  /** Returns the parts listed by a head that are currently on the platform, by digest. */
  Map<Digest, byte[]> storedParts(AcceptedHead head) {
    Map<Digest, byte[]> parts = new HashMap<>();
    for (Digest digest : head.manifest().entries().values()) {
      PlatformEntry entry = platform.entry(AcceptedConfigurationReader.partKey(digest));
      if (entry.exists()) {
        parts.put(digest, entry.value());
      }
    }
    return parts;
  }

  Optional<Digest> acceptedDigest(TeamId team) {
    return head().partDigest(team);
  }

  /** Returns a document with one service named after its team and the given entries of work. */
  static String document(TeamId team, int slots, String... work) {
    return "member: pamoja\nteam: %s\nservices:\n".formatted(team)
        + "  - {id: %s, callers: [\"*\"], slots: %d, connections: 900}\n".formatted(team, slots)
        + "work:\n  [%s]\n".formatted(String.join(", ", work));
  }

  static String route(String name, String path, TeamId service) {
    return ("{name: %s, host: shop, path: %s, prefix: true, service: %s, idempotent: true,"
            + " deadline: 1s}")
        .formatted(name, path, service);
  }
}
