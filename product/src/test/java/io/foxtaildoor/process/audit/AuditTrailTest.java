package io.foxtaildoor.process.audit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.foxtaildoor.common.MemberId;
import io.foxtaildoor.process.platform.FaultyPlatform;
import io.foxtaildoor.process.platform.FaultyPlatform.Fault;
import io.foxtaildoor.process.platform.VirtualTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link AuditTrail}. */
public class AuditTrailTest {
  private Random random;
  private VirtualTime time;
  private FaultyPlatform platform;

  @BeforeMethod
  public void setUp() {
    random = new Random(11);
    time = new VirtualTime(random);
    platform = new FaultyPlatform(time, random, 20);
  }

  private AuditTrail trail() {
    return new AuditTrail(platform, time, AuditSettings.defaults());
  }

  private AuditEntry entry(String id, AuditKind kind) {
    String member = id.length() % 2 == 0 ? "m" : "n";
    return new AuditEntry(id, kind, "op", member, "t", 1, "", time.nowMillis(), "detail");
  }

  /** Reads the ids of all entries of a member, or of all members if empty, newest first. */
  private List<String> readAll(Optional<MemberId> member) {
    List<String> ids = new ArrayList<>();
    Optional<AuditCursor> cursor = Optional.empty();
    do {
      var page = trail().page(cursor, 37, member);
      time.advance(Duration.ofMinutes(1));
      page.join().entries().forEach(entry -> ids.add(entry.id()));
      cursor = page.join().next().map(next -> AuditCursor.parse(next.toString()));
    } while (cursor.isPresent());
    return ids;
  }

  /** Guards against lost, duplicate or misordered entries when the trail spans several segments. */
  @Test
  public void readsEntriesOfSeveralSegmentsNewestFirst() {
    AuditTrail trail = trail();
    List<String> expected = new ArrayList<>();
    List<String> ofMember = new ArrayList<>();
    for (int i = 0; i < 450; i++) {
      trail.record(entry("e" + i, AuditKind.APPROVAL));
      expected.add(0, "e" + i);
      if (("e" + i).length() % 2 == 0) {
        ofMember.add(0, "e" + i);
      }
    }
    time.advance(Duration.ofMinutes(1));
    assertEquals(trail.waitingCount(), 0);
    assertTrue(trail.flush().isDone());
    assertEquals(readAll(Optional.empty()), expected);
    assertEquals(readAll(Optional.of(new MemberId("m"))), ofMember);
    assertTrue(platform.entry("audit/3").exists());
  }

  /**
   * Guards against duplicate and lost entries when processes append concurrently and responses of
   * the platform are lost.
   */
  @Test
  public void appendsOnceDespiteConcurrencyAndLostResponses() {
    Fault[] faults = Fault.values();
    platform.setFaults(
        (key, write) ->
            random.nextInt(3) > 0 || (!write && random.nextInt(3) > 0)
                ? Fault.NONE
                : faults[random.nextInt(faults.length)]);
    // Segments are small so that most batches are split across segments.
    AuditSettings small =
        new AuditSettings(1_000, 250, 1, 1, 7, 50, Duration.ofSeconds(1), Duration.ofSeconds(30));
    List<AuditTrail> trails =
        Stream.generate(() -> new AuditTrail(platform, time, small)).limit(3).toList();
    TreeSet<String> expected = new TreeSet<>();
    for (int i = 0; i < 600; i++) {
      AuditTrail trail = trails.get(random.nextInt(trails.size()));
      assertTrue(trail.record(entry("e" + i, AuditKind.AMENDMENT)));
      expected.add("e" + i);
      time.advance(Duration.ofMillis(random.nextInt(100)));
    }
    time.advance(Duration.ofHours(2));
    platform.setFaults((key, write) -> Fault.NONE);
    time.advance(Duration.ofHours(1));
    List<String> found = readAll(Optional.empty());
    assertEquals(found.size(), 600);
    assertEquals(new TreeSet<>(found), expected);
  }

  /** Guards against many refused requests that fill the queue or flood the platform. */
  @Test
  public void limitsRefusalsButNotApprovals() {
    platform.setFaults((key, write) -> Fault.UNAVAILABLE);
    AuditTrail trail = trail();
    for (int i = 0; i < 5_000; i++) {
      trail.record(entry("r" + i, AuditKind.REFUSAL));
    }
    assertEquals(trail.waitingCount(), AuditSettings.defaults().refusalBurst());
    assertTrue(trail.record(entry("a", AuditKind.APPROVAL)));
    for (int i = 0; i < 5_000; i++) {
      trail.record(entry("s" + i, AuditKind.SUBMISSION));
    }
    assertEquals(trail.waitingCount(), AuditSettings.defaults().queueCapacity());
    time.advance(Duration.ofMinutes(10));
    platform.setFaults((key, write) -> Fault.NONE);
    time.advance(Duration.ofMinutes(1));
    assertEquals(trail.waitingCount(), 0);
    trail.record(entry("r", AuditKind.REFUSAL));
    time.advance(Duration.ofMinutes(1));
    var page = trail.page(Optional.empty(), 1, Optional.empty());
    time.advance(Duration.ofMinutes(1));
    assertEquals(page.join().entries().get(0).detail(), "detail (4990 not recorded)");
  }
}
