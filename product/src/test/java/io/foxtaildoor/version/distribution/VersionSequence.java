package io.foxtaildoor.version.distribution;

import com.google.protobuf.ByteString;
import io.foxtaildoor.common.Digest;
import io.foxtaildoor.common.TeamId;
import io.foxtaildoor.protocol.ConfigurationHead;
import io.foxtaildoor.protocol.ManifestEntry;
import io.foxtaildoor.protocol.RouteConfiguration;
import io.foxtaildoor.protocol.ServiceConfiguration;
import io.foxtaildoor.protocol.TeamConfiguration;
import io.foxtaildoor.version.manifest.Manifest;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** Creates successive configuration versions with one service and several routes per team. */
public final class VersionSequence {
  /** Number of routes that makes a part about 1 KB long, as the design assumes for each service. */
  private static final int ROUTES = 10;

  private final TreeMap<TeamId, Digest> entries = new TreeMap<>();
  private final Map<Digest, byte[]> parts = new HashMap<>();
  private Manifest manifest = Manifest.EMPTY;

  /** Creates the parts of a number of teams, but no version yet. */
  public VersionSequence(int teams) {
    for (int i = 0; i < teams; i++) {
      put(i, 0, 1);
    }
  }

  /** Returns the manifest of the latest version. */
  public Manifest manifest() {
    return manifest;
  }

  /** Returns the parts of the latest version by digest. */
  public Map<Digest, byte[]> parts() {
    Map<Digest, byte[]> currentParts = new HashMap<>();
    manifest.entries().values().forEach(digest -> currentParts.put(digest, parts.get(digest)));
    return currentParts;
  }

  /** Returns the head record of the latest version. */
  public ConfigurationHead head() {
    ConfigurationHead.Builder head = ConfigurationHead.newBuilder();
    head.setVersion(manifest.version());
    head.setDigest(ByteString.copyFrom(manifest.stamp().digest().bytes()));
    for (var entry : manifest.entries().entrySet()) {
      var message = ManifestEntry.newBuilder().setTeam(entry.getKey().value());
      head.addEntries(message.setDigest(ByteString.copyFrom(entry.getValue().bytes())));
    }
    return head.build();
  }

  /** Creates the next version, in which one team changed. */
  public VersionSequence change(int team) {
    long version = manifest.version() + 1;
    put(team, version, 1);
    manifest = Manifest.of(version, entries);
    return this;
  }

  /** Creates the next version, from which one team is removed. */
  public VersionSequence remove(int team) {
    entries.remove(team(team));
    manifest = Manifest.of(manifest.version() + 1, entries);
    return this;
  }

  /** Creates the next version as an invalid one, in which a service has no slots. */
  VersionSequence changeToInvalid(int team) {
    long version = manifest.version() + 1;
    put(team, version, 0);
    manifest = Manifest.of(version, entries);
    return this;
  }

  private static TeamId team(int number) {
    return new TeamId("team-" + number);
  }

  private void put(int number, long revision, int slots) {
    String service = "service-" + number;
    TeamConfiguration.Builder team = TeamConfiguration.newBuilder();
    team.setTeam(team(number).value()).setMember("member");
    var limits = ServiceConfiguration.newBuilder().setId(service).addCallers("*").setSlots(slots);
    team.addServices(limits.setConnections(100));
    for (int i = 0; i < ROUTES; i++) {
      RouteConfiguration.Builder route = RouteConfiguration.newBuilder().setName("route-" + i);
      route.setHost(service + ".member.example").addMethods("GET").setService(service);
      route.setPath("/resources/" + i + "/revision/" + revision).setPrefix(true);
      team.addRoutes(route.setDeadlineMillis(500).setMaxBodyBytes(65_536));
    }
    byte[] content = team.build().toByteArray();
    Digest digest = Digest.of(content);
    parts.put(digest, content);
    entries.put(team(number), digest);
  }
}
