package io.foxtaildoor.experiments;

import com.google.protobuf.ByteString;
import io.foxtaildoor.common.Digest;
import io.foxtaildoor.common.TeamId;
import io.foxtaildoor.protocol.Announcement;
import io.foxtaildoor.protocol.ConfigurationHead;
import io.foxtaildoor.protocol.Datagram;
import io.foxtaildoor.protocol.HeldVersion;
import io.foxtaildoor.protocol.ManifestEntry;
import io.foxtaildoor.protocol.NodeRecordMessage;
import io.foxtaildoor.protocol.RouteConfiguration;
import io.foxtaildoor.protocol.ServiceConfiguration;
import io.foxtaildoor.protocol.TeamConfiguration;
import io.foxtaildoor.protocol.UrgentUpdates;
import io.foxtaildoor.protocol.WireRank;
import io.foxtaildoor.version.manifest.Manifest;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Measures memory and processor time of one node whose configuration and membership have the size
 * that the system is designed for. The node gets the configuration through the platform and the
 * node records through gossip datagrams, as in a real fleet.
 */
final class FleetExperiment implements Experiment {
  private static final int SERVICE_COUNT = 810;
  private static final int NODE_RECORD_COUNT = 12_000;
  private static final int RECORDS_PER_DATAGRAM = 8;
  private static final int DATA_CENTRE_COUNT = 11;
  private static final int REGION_COUNT = 3;
  private static final Duration PUBLISH_TIMEOUT = Duration.ofMinutes(2);

  /** Keeps the sending rate below the rate at which a node empties its receive buffer. */
  private static final int DATAGRAMS_PER_PAUSE = 20;

  private static final long PAUSE_MILLIS = 5;

  @Override
  public void run(Options options, Report report) throws IOException {
    try (Mesh mesh = new Mesh(options, Map.of(), "")) {
      mesh.startNodes(1);
      NodeProcess node = mesh.nodes().get(0);
      measure("empty", node, options, report);
      publishConfiguration(mesh);
      Pause.until(
          "configuration of " + SERVICE_COUNT + " services",
          PUBLISH_TIMEOUT,
          () ->
              mesh.http().getJson(node.operatorPort(), "/v1/config").path("version").asLong() == 1);
      measure(SERVICE_COUNT + " services", node, options, report);
      sendRecords(node);
      int knownNodes =
          mesh.http().getJson(node.operatorPort(), "/v1/config/status").path("total").asInt();
      measure(SERVICE_COUNT + " services, " + knownNodes + " nodes", node, options, report);
    }
  }

  private static void measure(String state, NodeProcess node, Options options, Report report)
      throws IOException {
    long pid = node.process().pid();
    long processorMillisBefore = ProcFiles.processorMillis(pid);
    Pause.millis(TimeUnit.SECONDS.toMillis(options.seconds));
    double corePercent =
        (ProcFiles.processorMillis(pid) - processorMillisBefore)
            * 100.0
            / TimeUnit.SECONDS.toMillis(options.seconds);
    report.add(
        new Report.Row()
            .put("state", state)
            .put("resident MiB", ProcFiles.residentKilobytes(pid) / 1024.0)
            .put("core %", corePercent));
  }

  private static void publishConfiguration(Mesh mesh) {
    SortedMap<TeamId, Digest> entries = new TreeMap<>();
    for (int i = 0; i < SERVICE_COUNT; i++) {
      byte[] part = teamConfiguration(i);
      Digest digest = Digest.of(part);
      entries.put(new TeamId("team-" + i), digest);
      mesh.putPlatformValue("part/" + digest.hex(), part);
    }
    Manifest manifest = Manifest.of(1, entries);
    ConfigurationHead.Builder head =
        ConfigurationHead.newBuilder()
            .setVersion(1)
            .setDigest(ByteString.copyFrom(manifest.stamp().digest().bytes()));
    entries.forEach(
        (team, digest) ->
            head.addEntries(
                ManifestEntry.newBuilder()
                    .setTeam(team.value())
                    .setDigest(ByteString.copyFrom(digest.bytes()))));
    mesh.putPlatformValue("head", head.build().toByteArray());
  }

  private static byte[] teamConfiguration(int index) {
    String service = "service-" + index;
    TeamConfiguration.Builder team =
        TeamConfiguration.newBuilder()
            .setTeam("team-" + index)
            .setMember("member-" + index % 40)
            .addServices(
                ServiceConfiguration.newBuilder()
                    .setId(service)
                    .addCallers("*")
                    .setSlots(9)
                    .setConnections(110));
    for (String path : List.of("/lookups", "/orders", "/audits")) {
      team.addRoutes(
          RouteConfiguration.newBuilder()
              .setName("route-" + path.substring(1))
              .setHost(service + ".mesh")
              .addMethods("GET")
              .setPath(path)
              .setPrefix(true)
              .setService(service)
              .setIdempotent(true)
              .setRank(WireRank.NORMAL)
              .setDeadlineMillis(1_000)
              .setMaxBodyBytes(65_536));
    }
    return team.build().toByteArray();
  }

  private static void sendRecords(NodeProcess node) throws IOException {
    InetAddress loopback = InetAddress.getLoopbackAddress();
    try (DatagramSocket socket = new DatagramSocket(0, loopback)) {
      int sent = 0;
      for (int first = 0; first < NODE_RECORD_COUNT; first += RECORDS_PER_DATAGRAM) {
        byte[] content = gossipDatagram(first).toByteArray();
        socket.send(new DatagramPacket(content, content.length, loopback, node.peerPort()));
        sent++;
        if (sent % DATAGRAMS_PER_PAUSE == 0) {
          Pause.millis(PAUSE_MILLIS);
        }
      }
    }
  }

  private static Datagram gossipDatagram(int first) {
    Datagram.Builder datagram =
        Datagram.newBuilder()
            .setProtocolVersion(1)
            .setCluster("pamoja")
            .setSender("record-source")
            .setSenderIncarnation(1)
            .setHeld(HeldVersion.getDefaultInstance())
            .setUrgent(UrgentUpdates.getDefaultInstance());
    int end = Math.min(NODE_RECORD_COUNT, first + RECORDS_PER_DATAGRAM);
    for (int i = first; i < end; i++) {
      datagram.addUpdates(nodeRecord(i));
    }
    return datagram.build();
  }

  /** Returns a node record with a loopback address of its own, on which nothing listens. */
  private static NodeRecordMessage nodeRecord(int index) {
    byte[] address = {127, 1, (byte) (index >> 8), (byte) index};
    int dataCentre = index % DATA_CENTRE_COUNT;
    return NodeRecordMessage.newBuilder()
        .setNodeId("dc-" + dataCentre + "-" + Integer.toHexString(0x1000000 + index))
        .setAddress(ByteString.copyFrom(address))
        .setPeerPort(7481)
        .setRegion("region-" + dataCentre % REGION_COUNT)
        .setDataCentre("dc-" + dataCentre)
        .setIncarnation(1)
        .setAnnouncement(
            Announcement.newBuilder().setService("service-" + index % SERVICE_COUNT).setSlots(9))
        .build();
  }
}
