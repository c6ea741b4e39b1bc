package io.foxtaildoor.process.membership;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Tests of {@link GossipQueue}. */
public class GossipQueueTest {
  private static final int SEND_LIMIT = 8;
  private static final int RECORDS_PER_DATAGRAM = 3;

  private final GossipQueue queue = new GossipQueue();

  private List<String> take() {
    List<String> taken = new ArrayList<>();
    queue.take(
        SEND_LIMIT,
        record ->
            taken.size() < RECORDS_PER_DATAGRAM
                && taken.add(record.id() + "/" + record.incarnation()));
    return taken;
  }

  /**
   * Guards against new updates waiting behind old ones, and against updates that are sent
   * endlessly.
   */
  @Test
  public void sendsLeastSentUpdateFirstUpToSendLimit() {
    queue.add(FakeNetwork.record("old", 1, 1));
    assertEquals(take(), List.of("old/1"));
    queue.add(FakeNetwork.record("new", 2, 1));
    queue.add(FakeNetwork.record("old", 1, 2));
    assertEquals(take(), List.of("new/1", "old/2"));
    for (int i = 1; i < SEND_LIMIT; i++) {
      assertEquals(take().size(), 2);
    }
    assertEquals(take(), List.of());
    assertEquals(queue.size(), 0);
  }

  /** Guards against gossip filling all datagrams for hours after a mass restart. */
  @Test
  public void dropsUpdatesAfterTheirLifetime() {
    for (int host = 0; host < 1_000; host++) {
      queue.add(FakeNetwork.record("node-" + host, host, 1));
    }
    for (int i = 0; i <= 4 * SEND_LIMIT; i++) {
      assertEquals(take().size(), i < 4 * SEND_LIMIT ? RECORDS_PER_DATAGRAM : 0, "datagram " + i);
    }
    assertEquals(queue.size(), 0);
  }
}
