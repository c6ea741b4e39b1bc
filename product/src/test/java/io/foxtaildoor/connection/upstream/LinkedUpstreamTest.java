package io.foxtaildoor.connection.upstream;

import static io.foxtaildoor.connection.upstream.UpstreamFixture.await;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.foxtaildoor.common.DataCentreId;
import io.foxtaildoor.common.NodeId;
import io.foxtaildoor.common.RegionId;
import io.foxtaildoor.connection.link.LinkIdentity;
import io.foxtaildoor.connection.link.LinkMetrics;
import io.foxtaildoor.connection.link.LinkSettings;
import io.foxtaildoor.connection.link.NettyLinkClient;
import io.foxtaildoor.connection.link.PeerListener;
import io.foxtaildoor.connection.link.RequestStream;
import io.foxtaildoor.connection.link.ResponseListener;
import io.foxtaildoor.process.membership.NodeRecord;
import io.foxtaildoor.process.membership.NodeState;
import io.foxtaildoor.protocol.RequestStart;
import io.foxtaildoor.protocol.ResponseStart;
import io.foxtaildoor.protocol.StreamFailure;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.testng.annotations.Test;

/** Tests of requests over a link to an upstream with seeded faults. */
public class LinkedUpstreamTest {
  private static final int REQUESTS = 300;
  private static final Pattern ID = Pattern.compile("foxtaildoor-request-id: (\\S+)");

  /** Records the outcome of a request, and fails if there is more than one. */
  private static final class OutcomeRecorder implements ResponseListener {
    final CompletableFuture<String> outcome = new CompletableFuture<>();
    private final StringBuilder text = new StringBuilder();
    private RequestStream stream;

    @Override
    public void onResponseStart(ResponseStart head) {}

    @Override
    public void onBody(ByteBuf data, boolean end) {
      text.append(data.toString(StandardCharsets.ISO_8859_1));
      stream.consumed(data.readableBytes());
      data.release();
      if (end) {
        assertTrue(outcome.complete(text.toString()));
      }
    }

    @Override
    public void onFailure(StreamFailure failure) {
      assertTrue(outcome.complete(failure.getNotRun() ? "not run" : "unknown"));
    }

    @Override
    public void onWritable() {}
  }

  private static void serveWithFaults(ScriptedUpstream.Connection connection) throws IOException {
    while (true) {
      Matcher id = ID.matcher(connection.readHead());
      assertTrue(id.find());
      int fault = new SplittableRandom(id.group(1).hashCode()).nextInt(10);
      String body = (id.group(1) + ";").repeat(fault == 0 ? 50_000 : 3);
      String head = "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n";
      connection.readBody(1000);
      if (fault == 1) {
        connection.reset();
        return;
      }
      if (fault == 2) {
        connection.write(head + body.substring(1));
        return;
      }
      connection.write(head + body);
      if (fault == 3) {
        return;
      }
    }
  }

  /**
   * Guards against mixed-up responses, repeated runs and wrong "not run" results when an upstream
   * is faulty.
   */
  @Test
  public void everyRequestHasExactlyOneCorrectOutcome() throws Exception {
    UpstreamFixture fixture = new UpstreamFixture(9, Duration.ofSeconds(20));
    LinkIdentity identity = new LinkIdentity("test", new NodeId("node"), () -> 1);
    LinkMetrics metrics = new LinkMetrics(new SimpleMeterRegistry());
    LinkSettings settings = LinkSettings.defaults();
    try (ScriptedUpstream upstream = new ScriptedUpstream(LinkedUpstreamTest::serveWithFaults);
        PeerListener listener =
            new PeerListener(
                fixture.group,
                settings,
                identity,
                metrics,
                System::nanoTime,
                fixture.server,
                Map.of());
        NettyLinkClient client =
            new NettyLinkClient(
                fixture.group,
                settings,
                identity,
                metrics,
                fixture.invariants,
                System::nanoTime,
                new SplittableRandom(1))) {
      fixture.attach(upstream.address());
      InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
      NodeRecord node =
          new NodeRecord(
              identity.nodeId(),
              await(listener.start(any)),
              new RegionId("r"),
              new DataCentreId("d"),
              1,
              NodeState.ALIVE,
              Optional.empty());
      List<OutcomeRecorder> results = new ArrayList<>();
      for (int i = 0; i < REQUESTS; i++) {
        OutcomeRecorder result = new OutcomeRecorder();
        RequestStart.Builder head =
            UpstreamFixture.requestHead("POST", false).setRequestId("r" + i);
        UpstreamFixture.withHeader(head, "Content-Length", "1000");
        result.stream = client.open(node, head.build(), result);
        result.stream.send(Unpooled.wrappedBuffer(new byte[1000]), true);
        results.add(result);
      }
      assertOutcomes(results, upstream);
      assertTrue(await(fixture.server.beginDrain(System.nanoTime())));
    }
    assertEquals(fixture.invariants.totalBreaches(), 0);
    fixture.close();
  }

  private static void assertOutcomes(List<OutcomeRecorder> results, ScriptedUpstream upstream) {
    int complete = 0;
    for (int i = 0; i < results.size(); i++) {
      String outcome = await(results.get(i).outcome);
      String id = "r" + i;
      String line = "foxtaildoor-request-id: " + id + "\r\n";
      long runs = upstream.requestHeads.stream().filter(head -> head.contains(line)).count();
      assertTrue(runs <= 1, id + " ran " + runs + " times");
      if (outcome.equals("not run")) {
        assertEquals(runs, 0, id);
      } else if (!outcome.equals("unknown")) {
        complete++;
        assertTrue(outcome.matches("(" + id + ";)+"), id);
      }
    }
    assertTrue(complete > REQUESTS / 2, "only " + complete + " complete responses");
  }
}
