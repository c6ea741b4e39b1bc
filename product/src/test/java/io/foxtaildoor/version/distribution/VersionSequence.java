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

/** Makes successive versions of a configuration with one service and some routes for each team. */
public final class VersionSequence {
  /** Makes a part about 1 KB long, as the design page assumes for each service. */
  private static final int ROUTES = 10;

  private final TreeMap<TeamId, Digest> entries = new TreeMap<>();
  private final Map<Digest, byte[]> parts = new HashMap<>();
  private Manifest manifest = Manifest.EMPTY;

  /** Starts with a number of teams and no version. */
  public VersionSequence(int teams) {
    for (int i = 0; i < teams; i++) {
      put(i, 0, 1);
    }
  }

  /** The version made last. */
  public Manifest manifest() {
    return manifest;
  }

  /** The parts of the version made last. */
  public Map<Digest, byte[]> parts() {
    Map<Digest, byte[]> present = new HashMap<>();
    manifest.entries().values().forEach(digest -> present.put(digest, parts.get(digest)));
    return present;
  }

  /** The value of the head key for the version made last. */
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

  /** Makes the next version, in which one team changed. */
  public VersionSequence change(int team) {
    long version = manifest.version() + 1;
    put(team, version, 1);
    manifest = Manifest.of(version, entries);
    return this;
  }

  /** Makes the next version without a team. */
  public VersionSequence remove(int team) {
    entries.remove(team(team));
    manifest = Manifest.of(manifest.version() + 1, entries);
    return this;
  }

  /** Makes a next version that is invalid: a service without slots. */
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
