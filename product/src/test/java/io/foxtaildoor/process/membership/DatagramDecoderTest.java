package io.foxtaildoor.process.membership;

import static org.testng.Assert.assertEquals;

import com.google.protobuf.ByteString;
import io.foxtaildoor.common.NodeId;
import io.foxtaildoor.process.membership.MembershipCounters.Counter;
import io.foxtaildoor.protocol.Announcement;
import io.foxtaildoor.protocol.Datagram;
import io.foxtaildoor.protocol.NodeRecordMessage;
import io.foxtaildoor.protocol.Probe;
import io.foxtaildoor.protocol.UrgentUpdates;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.SplittableRandom;
import java.util.function.UnaryOperator;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link DatagramDecoder} and {@link NodeRecordCodec}, mainly with malformed input. */
public class DatagramDecoderTest {
  private static final long NOW = 1_000_000_000L;

  private static Datagram.Builder validDatagram() {
    return Datagram.newBuilder()
        .setProtocolVersion(DatagramDecoder.PROTOCOL_VERSION)
        .setCluster("foxtaildoor")
        .setSender("node-2")
        .setSenderIncarnation(3)
        .setProbe(Probe.newBuilder().setSequence(9).setTarget("node-1"));
  }

  private static NodeRecordMessage.Builder validRecord() {
    return new NodeRecordCodec().encode(FakeNetwork.record("node-2", 2, 3), NOW).toBuilder();
  }

  /** Decoding of whole datagrams. */
  public static final class DatagramDecoding {
    /** Datagrams that must be dropped, each with the counter that it must increment. */
    @DataProvider
    public Object[][] invalidDatagrams() {
      return new Object[][] {
        {"empty", new byte[0], Counter.DROPPED_MALFORMED},
        {"no body", validDatagram().clearBody().build().toByteArray(), Counter.DROPPED_MALFORMED},
        {"truncated", truncatedDatagram(), Counter.DROPPED_MALFORMED},
        {
          "no sender",
          validDatagram().clearSender().build().toByteArray(),
          Counter.DROPPED_MALFORMED
        },
        {
          "bad sender",
          validDatagram().setSender("A B").build().toByteArray(),
          Counter.DROPPED_MALFORMED
        },
        {
          "own id",
          validDatagram().setSender("node-1").build().toByteArray(),
          Counter.DROPPED_MALFORMED
        },
        {
          "negative incarnation",
          validDatagram().setSenderIncarnation(-1).build().toByteArray(),
          Counter.DROPPED_MALFORMED
        },
        {
          "other cluster",
          validDatagram().setCluster("x").build().toByteArray(),
          Counter.DROPPED_FOREIGN
        },
        {
          "other version",
          validDatagram().setProtocolVersion(2).build().toByteArray(),
          Counter.DROPPED_PROTOCOL
        },
      };
    }

    private static byte[] truncatedDatagram() {
      byte[] complete = validDatagram().build().toByteArray();
      return Arrays.copyOf(complete, complete.length - 3);
    }

    /**
     * Guards against malformed datagrams, and datagrams of another cluster or protocol version,
     * reaching the protocol.
     */
    @Test(dataProvider = "invalidDatagrams")
    public void dropsAndCountsInvalidDatagram(String name, byte[] bytes, Counter counter) {
      MembershipCounters counters = new MembershipCounters();
      DatagramDecoder decoder = new DatagramDecoder("foxtaildoor", new NodeId("node-1"), counters);
      assertEquals(decoder.decode(ByteBuffer.wrap(bytes)).isPresent(), false, name);
      assertEquals(counters.value(counter), 1, name);
      assertEquals(counters.value(Counter.RECEIVED_DATAGRAMS), 1);
    }

    /** Guards against a check that drops valid datagrams. */
    @Test
    public void acceptsValidDatagram() {
      MembershipCounters counters = new MembershipCounters();
      DatagramDecoder decoder = new DatagramDecoder("foxtaildoor", new NodeId("node-1"), counters);
      Datagram sent = validDatagram().build();
      assertEquals(decoder.decode(ByteBuffer.wrap(sent.toByteArray())).orElseThrow(), sent);
    }

    /** Guards against unhandled exceptions caused by arbitrary bytes. */
    @Test
    public void randomAndMutatedBytesDoNotThrow() {
      SplittableRandom random = new SplittableRandom(42);
      FakeNetwork network = new FakeNetwork(MembershipSettings.defaults(), 42);
      FakeNetwork.Node node = network.start(1, 3);
      DatagramDecoder decoder = new DatagramDecoder("foxtaildoor", node.id(), node.counters);
      byte[] original = validDatagram().addUpdates(validRecord()).build().toByteArray();
      for (int i = 0; i < 20_000; i++) {
        byte[] bytes = i % 2 == 0 ? new byte[random.nextInt(300)] : original.clone();
        if (i % 2 == 0) {
          random.nextBytes(bytes);
        } else {
          bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
        }
        decoder
            .decode(ByteBuffer.wrap(bytes))
            .ifPresent(accepted -> node.core.onDatagram(node.address(), accepted, network.now));
      }
      assertEquals(node.counters.value(Counter.RECEIVED_DATAGRAMS), 20_000);
    }
  }

  /** Decoding of the records inside datagrams. */
  public static final class RecordDecoding {
    /** Invalid records, each with one invalid field. */
    @DataProvider
    public Object[][] invalidRecords() {
      return new Object[][] {
        invalidRecord("id", record -> record.setNodeId("")),
        invalidRecord("address", record -> record.setAddress(ByteString.copyFrom(new byte[5]))),
        invalidRecord("port 0", record -> record.setPeerPort(0)),
        invalidRecord("port", record -> record.setPeerPort(70_000)),
        invalidRecord("region", record -> record.setRegion("UPPER")),
        invalidRecord("data centre", record -> record.setDataCentre("")),
        invalidRecord("incarnation", record -> record.setIncarnation(Long.MAX_VALUE)),
        invalidRecord("negative incarnation", record -> record.setIncarnation(-5)),
        invalidRecord("state", record -> record.setStateValue(77)),
        invalidRecord(
            "slots", record -> record.setAnnouncement(Announcement.newBuilder().setService("s"))),
        invalidRecord(
            "service", record -> record.setAnnouncement(Announcement.newBuilder().setSlots(1))),
      };
    }

    private static Object[] invalidRecord(
        String name, UnaryOperator<NodeRecordMessage.Builder> mutation) {
      return new Object[] {name, mutation.apply(validRecord()).build()};
    }

    /**
     * Guards against an invalid record entering the node table, or causing valid records of the
     * same datagram to be dropped.
     */
    @Test(dataProvider = "invalidRecords")
    public void invalidRecordDoesNotAffectValidOnes(String name, NodeRecordMessage invalid) {
      FakeNetwork network = new FakeNetwork(MembershipSettings.defaults(), 1);
      FakeNetwork.Node node = network.start(1, 3);
      Datagram datagram =
          validDatagram()
              .setUrgent(UrgentUpdates.getDefaultInstance())
              .addUpdates(invalid)
              .addUpdates(validRecord().setNodeId("node-3"))
              .build();
      node.core.onDatagram(FakeNetwork.record("node-2", 2, 3).address(), datagram, NOW);
      assertEquals(node.core.table().records().size(), 2, name);
      assertEquals(node.counters.value(Counter.DROPPED_RECORDS), 1, name);
    }
  }
}
