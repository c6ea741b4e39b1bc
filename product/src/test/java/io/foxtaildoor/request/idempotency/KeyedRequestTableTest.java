package io.foxtaildoor.request.idempotency;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.foxtaildoor.common.NodeId;
import io.foxtaildoor.common.ServiceId;
import io.foxtaildoor.request.idempotency.KeyedRequestTable.Ending;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link KeyedRequestTable}. */
public class KeyedRequestTableTest {
  private static final ServiceId SERVICE = new ServiceId("bookings");
  private static final NodeId FIRST = new NodeId("first");
  private static final NodeId SECOND = new NodeId("second");
  private static final List<Ending> ENDINGS = List.of(Ending.values());
  private static final long RETENTION = KeyedRequestTable.RETENTION.toNanos();

  private KeyedRequestTable requests;

  @BeforeMethod
  public void createTable() {
    requests = new KeyedRequestTable(160);
  }

  /**
   * Guards against sending a repeat to another node while the first node may have run the request.
   */
  @Test
  public void unknownOutcomeBindsKeyToNodeForTenMinutes() {
    requests.begin(SERVICE, "k", FIRST, 0);
    requests.end(SERVICE, "k", Ending.UNKNOWN, 0);
    assertEquals(requests.begin(SERVICE, "k", SECOND, RETENTION - 1), Optional.of(FIRST));
    requests.end(SERVICE, "k", Ending.NOT_RUN, RETENTION - 1);
    assertEquals(requests.destination(SERVICE, "k", RETENTION - 1), Optional.of(FIRST));
    assertEquals(requests.begin(SERVICE, "k", SECOND, RETENTION), Optional.of(SECOND));
  }

  /**
   * Guards against concurrent repeats on two nodes, and against entries that stay after their
   * requests ended.
   */
  @Test
  public void requestInFlightBindsKeyToNode() {
    requests.begin(SERVICE, "k", FIRST, 0);
    assertEquals(requests.begin(SERVICE, "k", SECOND, 2 * RETENTION), Optional.of(FIRST));
    requests.end(SERVICE, "k", Ending.NOT_RUN, 2 * RETENTION);
    requests.end(SERVICE, "k", Ending.ANSWERED, 2 * RETENTION);
    assertEquals(requests.size(), 0);
  }

  /**
   * Guards against dropping a request with an unknown outcome when the table is full, over random
   * operations with a fixed seed.
   */
  @Test
  public void fullTableRefusesNewKeysInsteadOfEvicting() {
    Random random = new Random(5);
    Map<String, Long> unknownUntil = new HashMap<>();
    int refused = 0;
    long now = 0;
    for (int i = 0; i < 20_000; i++) {
      now += random.nextInt(10) * RETENTION / 2_000;
      String key = "k" + random.nextInt(2_000);
      NodeId preferred = new NodeId("n" + random.nextInt(1_000));
      Optional<NodeId> known = requests.destination(SERVICE, key, now);
      assertEquals(known.isPresent(), unknownUntil.getOrDefault(key, Long.MIN_VALUE) > now);
      Optional<NodeId> sentTo = requests.begin(SERVICE, key, preferred, now);
      if (sentTo.isEmpty()) {
        refused++;
        continue;
      }
      assertEquals(sentTo.get(), known.orElse(preferred));
      Ending ending = ENDINGS.get(random.nextInt(ENDINGS.size()));
      requests.end(SERVICE, key, ending, now);
      if (ending == Ending.UNKNOWN) {
        unknownUntil.put(key, now + RETENTION);
      }
      assertTrue(requests.size() <= 160);
    }
    assertTrue(refused > 0, "the table never refused a key");
  }
}
