package io.foxtaildoor.benchmarks;

import io.foxtaildoor.common.Digest;
import io.foxtaildoor.common.TeamId;
import io.foxtaildoor.protocol.ReservedShare;
import io.foxtaildoor.protocol.RouteConfiguration;
import io.foxtaildoor.protocol.ServiceConfiguration;
import io.foxtaildoor.protocol.TeamConfiguration;
import io.foxtaildoor.protocol.WireRank;
import io.foxtaildoor.version.manifest.Manifest;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Builds configurations of the size that the system is designed for: 810 teams with one service and
 * three routes each.
 */
final class Configurations {
  /** Number of teams; each has one service, and the system is designed for 810 services. */
  static final int TEAM_COUNT = 810;

  private static final int COLD_START_MILLIS = 5_000;

  private Configurations() {}

  static String host(int team) {
    return "service-" + team + ".mesh";
  }

  /** Returns the configuration part of a team. Revisions differ in their number of slots. */
  static byte[] part(int team, int slots) {
    String service = "service-" + team;
    TeamConfiguration.Builder builder =
        TeamConfiguration.newBuilder()
            .setTeam("team-" + team)
            .setMember("member")
            .addServices(
                ServiceConfiguration.newBuilder()
                    .setId(service)
                    .addCallers("*")
                    .setSlots(slots)
                    .setConnections(110)
                    .setColdStartMillis(COLD_START_MILLIS)
                    .addReservedShares(
                        ReservedShare.newBuilder().setRank(WireRank.HIGH).setPercent(20)));
    for (String path : new String[] {"/lookups", "/orders", "/audits"}) {
      builder.addRoutes(
          RouteConfiguration.newBuilder()
              .setName("route" + path)
              .setHost(host(team))
              .addMethods("GET")
              .setPath(path)
              .setPrefix(true)
              .setService(service)
              .setIdempotent(true)
              .setRank(WireRank.NORMAL)
              .setDeadlineMillis(1_000)
              .setMaxBodyBytes(65_536));
    }
    return builder.build().toByteArray();
  }

  /**
   * Builds the manifest of a complete configuration.
   *
   * @param parts receives the part of each team by its digest
   */
  static Manifest completeManifest(long version, Map<Digest, byte[]> parts) {
    SortedMap<TeamId, Digest> entries = new TreeMap<>();
    for (int team = 0; team < TEAM_COUNT; team++) {
      byte[] part = part(team, 9);
      Digest digest = Digest.of(part);
      parts.put(digest, part);
      entries.put(new TeamId("team-" + team), digest);
    }
    return Manifest.of(version, entries);
  }
}
