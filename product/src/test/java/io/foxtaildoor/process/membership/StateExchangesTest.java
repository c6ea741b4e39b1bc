package io.foxtaildoor.process.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.foxtaildoor.protocol.Frame;
import io.foxtaildoor.protocol.GoAway;
import io.foxtaildoor.protocol.StateDigest;
import io.foxtaildoor.protocol.StateExchange;
import java.util.List;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link StateExchanges}. */
public class StateExchangesTest {
  private static final int FRAME_LIMIT = 1 << 20;

  private static StateExchanges exchanges(NodeTable table) {
    return new StateExchanges(table, new NodeRecordCodec());
  }

  private static NodeTable table(int nodes) {
    NodeTable table = new NodeTable();
    IntStream.range(0, nodes)
        .forEach(host -> table.add(FakeNetwork.record("node-with-a-long-id-" + host, host, 1)));
    return table;
  }

  /** Frames that a correct node never sends in a state exchange. */
  @DataProvider
  public Object[][] invalidFrames() {
    return new Object[][] {
      {Frame.getDefaultInstance()},
      {Frame.newBuilder().setGoAway(GoAway.getDefaultInstance()).build()},
      {
        Frame.newBuilder().setStateDigest(StateDigest.newBuilder().addBucketHashes(1)).build(),
      },
      {Frame.newBuilder().setStateExchange(StateExchange.newBuilder().addBuckets(256)).build()},
      {Frame.newBuilder().setStateExchange(StateExchange.newBuilder().addBuckets(-1)).build()},
    };
  }

  /** Guards against malformed frames causing an exception in the connection that carries them. */
  @Test(dataProvider = "invalidFrames")
  public void invalidFrameGetsErrorReply(Frame request) {
    assertTrue(exchanges(table(3)).answer(request, 0).hasError());
  }

  /**
   * Guards against digests that depend on the order in which records were added, or on removed
   * records.
   */
  @Test
  public void equalTablesHaveEqualDigests() {
    NodeTable forward = table(500);
    NodeTable backward = new NodeTable();
    List<NodeRecord> records = forward.records();
    for (int i = records.size() - 1; i >= 0; i--) {
      backward.add(records.get(i));
    }
    backward.add(FakeNetwork.record("removed", 600, 1));
    backward.remove(FakeNetwork.record("removed", 600, 1).id());
    Frame reply = exchanges(backward).answer(exchanges(forward).digestFrame(), 0);
    assertEquals(reply.getStateDigest().getBucketHashesCount(), 0);
  }

  /** Guards against replies above the frame limit of the link when a peer requests all buckets. */
  @Test
  public void replyStaysBelowFrameLimit() {
    StateExchange.Builder all = StateExchange.newBuilder();
    IntStream.range(0, NodeTable.BUCKETS).forEach(all::addBuckets);
    Frame request = Frame.newBuilder().setStateExchange(all).build();
    Frame reply = exchanges(table(20_000)).answer(request, 0);
    assertTrue(reply.getSerializedSize() < FRAME_LIMIT);
    assertTrue(reply.getStateExchange().getBucketsCount() > 0);
    assertTrue(reply.getStateExchange().getBucketsCount() < NodeTable.BUCKETS);
  }
}
