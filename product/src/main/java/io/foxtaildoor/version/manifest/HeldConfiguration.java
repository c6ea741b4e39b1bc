package io.foxtaildoor.version.manifest;

import com.google.protobuf.InvalidProtocolBufferException;
import io.foxtaildoor.common.Digest;
import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.common.TeamId;
import io.foxtaildoor.protocol.TeamConfiguration;
import io.foxtaildoor.version.routing.RouteTable;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** One whole, checked configuration version; immutable. */
public final class HeldConfiguration {
  /** The configuration before the first version. */
  public static final HeldConfiguration EMPTY =
      new HeldConfiguration(Manifest.EMPTY, Map.of(), RouteTable.EMPTY);

  private final Manifest manifest;
  private final Map<Digest, byte[]> parts;
  private final RouteTable routes;

  private HeldConfiguration(Manifest manifest, Map<Digest, byte[]> parts, RouteTable routes) {
    this.manifest = manifest;
    this.parts = parts;
    this.routes = routes;
  }

  /**
   * Builds a version from its manifest and the bytes of all its parts.
   *
   * @throws FoxtaildoorException with {@link ErrorKind#BAD_CONFIGURATION} when a part is missing,
   *     does not have its digest, cannot be read, names another team or breaks a reference
   */
  public static HeldConfiguration build(Manifest manifest, Map<Digest, byte[]> parts) {
    Map<Digest, byte[]> kept = new HashMap<>();
    List<TeamConfiguration> teams = new ArrayList<>();
    manifest
        .entries()
        .forEach(
            (team, digest) -> {
              byte[] content = parts.get(digest);
              teams.add(read(team, digest, content));
              kept.put(digest, content);
            });
    return new HeldConfiguration(manifest, kept, RouteTable.build(teams));
  }

  private static TeamConfiguration read(TeamId team, Digest digest, byte[] content) {
    if (content == null) {
      throw bad("the part of team " + team + " is missing", null);
    }
    if (!Digest.of(content).equals(digest)) {
      throw bad("the part of team " + team + " does not have its digest", null);
    }
    TeamConfiguration configuration = parse(content);
    if (!configuration.getTeam().equals(team.value())) {
      throw bad("the part of team " + team + " names team " + configuration.getTeam(), null);
    }
    return configuration;
  }

  private static TeamConfiguration parse(byte[] content) {
    try {
      return TeamConfiguration.parseFrom(content);
    } catch (InvalidProtocolBufferException e) {
      throw bad("a part cannot be read", e);
    }
  }

  private static FoxtaildoorException bad(String message, Throwable cause) {
    return new FoxtaildoorException(ErrorKind.BAD_CONFIGURATION, message, cause);
  }

  public Manifest manifest() {
    return manifest;
  }

  public VersionStamp stamp() {
    return manifest.stamp();
  }

  public RouteTable routes() {
    return routes;
  }

  /** The bytes of a part, not to be changed. */
  public Optional<byte[]> part(Digest digest) {
    return Optional.ofNullable(parts.get(digest));
  }

  /** The configuration of a team. */
  public Optional<TeamConfiguration> team(TeamId team) {
    return Optional.ofNullable(manifest.entries().get(team))
        .flatMap(this::part)
        .map(HeldConfiguration::parse);
  }

  /** The bytes of all parts by digest, not to be changed. */
  public Map<Digest, byte[]> parts() {
    return parts;
  }
}
