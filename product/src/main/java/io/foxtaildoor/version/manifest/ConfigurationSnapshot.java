package io.foxtaildoor.version.manifest;

import com.google.protobuf.InvalidProtocolBufferException;
import io.foxtaildoor.common.Digest;
import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.common.TeamId;
import io.foxtaildoor.protocol.TeamConfiguration;
import io.foxtaildoor.version.routing.CallerLimits;
import io.foxtaildoor.version.routing.RouteTable;
import io.foxtaildoor.version.routing.TeamRoutes;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** One whole, checked configuration version; immutable. */
public final class ConfigurationSnapshot {
  /** The configuration before the first version. */
  public static final ConfigurationSnapshot EMPTY =
      new ConfigurationSnapshot(Manifest.EMPTY, Map.of(), RouteTable.EMPTY, CallerLimits.NONE);

  private final Manifest manifest;
  private final Map<Digest, CheckedPart> parts;
  private final RouteTable routes;
  private final CallerLimits callerLimits;

  /** The bytes of a part and what was read from them after all checks of the part. */
  private static final class CheckedPart {
    private final byte[] content;
    private final TeamRoutes routes;
    private final CallerLimits callerLimits;

    CheckedPart(byte[] content, TeamRoutes routes, CallerLimits callerLimits) {
      this.content = content;
      this.routes = routes;
      this.callerLimits = callerLimits;
    }

    byte[] content() {
      return content;
    }
  }

  private ConfigurationSnapshot(
      Manifest manifest,
      Map<Digest, CheckedPart> parts,
      RouteTable routes,
      CallerLimits callerLimits) {
    this.manifest = manifest;
    this.parts = parts;
    this.routes = routes;
    this.callerLimits = callerLimits;
  }

  /**
   * Builds a version from its manifest and the bytes of all its parts.
   *
   * @throws FoxtaildoorException with {@link ErrorKind#BAD_CONFIGURATION} when a part is missing,
   *     does not have its digest, cannot be read, names another team or breaks a reference
   */
  public static ConfigurationSnapshot build(Manifest manifest, Map<Digest, byte[]> parts) {
    return build(manifest, parts, EMPTY);
  }

  /**
   * Builds a version as {@link #build(Manifest, Map)} does, with the same result. A part of the
   * former version with the same team, digest and bytes is not hashed and read again, because that
   * takes most of the time of a change in one of many teams.
   */
  public static ConfigurationSnapshot build(
      Manifest manifest, Map<Digest, byte[]> parts, ConfigurationSnapshot previous) {
    Map<Digest, CheckedPart> checkedParts = new HashMap<>();
    List<TeamRoutes> teams = new ArrayList<>();
    manifest
        .entries()
        .forEach(
            (team, digest) -> {
              CheckedPart part = previous.findReusablePart(team, digest, parts.get(digest));
              if (part == null) {
                part = verifyAndParse(team, digest, parts.get(digest));
              }
              teams.add(part.routes);
              checkedParts.put(digest, part);
            });
    CallerLimits limits =
        checkedParts.values().stream()
            .map(part -> part.callerLimits)
            .reduce(CallerLimits.NONE, CallerLimits::restrictedBy);
    return new ConfigurationSnapshot(manifest, checkedParts, RouteTable.build(teams), limits);
  }

  /** Compares the bytes as well, which costs little and leaves no way around the digest. */
  private CheckedPart findReusablePart(TeamId team, Digest digest, byte[] content) {
    CheckedPart previousPart = parts.get(digest);
    boolean same =
        previousPart != null
            && content != null
            && previousPart.routes.team().equals(team)
            && Arrays.equals(previousPart.content, content);
    return same ? previousPart : null;
  }

  private static CheckedPart verifyAndParse(TeamId team, Digest digest, byte[] content) {
    if (content == null) {
      throw badConfiguration("the part of team " + team + " is missing", null);
    }
    if (!Digest.of(content).equals(digest)) {
      throw badConfiguration("the part of team " + team + " does not have its digest", null);
    }
    TeamConfiguration configuration = parse(content);
    if (!configuration.getTeam().equals(team.value())) {
      throw badConfiguration(
          "the part of team " + team + " names team " + configuration.getTeam(), null);
    }
    return new CheckedPart(
        content,
        TeamRoutes.of(team, configuration),
        CallerLimits.of(configuration.getCallerBounds()));
  }

  private static TeamConfiguration parse(byte[] content) {
    try {
      return TeamConfiguration.parseFrom(content);
    } catch (InvalidProtocolBufferException e) {
      throw badConfiguration("a part cannot be read", e);
    }
  }

  private static FoxtaildoorException badConfiguration(String message, Throwable cause) {
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

  /** What callers may send, as far as the version says. */
  public CallerLimits callerLimits() {
    return callerLimits;
  }

  /** The bytes of a part, not to be changed. */
  public Optional<byte[]> part(Digest digest) {
    return Optional.ofNullable(parts.get(digest)).map(CheckedPart::content);
  }

  /** The configuration of a team. */
  public Optional<TeamConfiguration> teamConfiguration(TeamId team) {
    return Optional.ofNullable(manifest.entries().get(team))
        .flatMap(this::part)
        .map(ConfigurationSnapshot::parse);
  }

  /** Returns a new map with the bytes of all parts by digest; the bytes are not to be changed. */
  public Map<Digest, byte[]> parts() {
    Map<Digest, byte[]> contents = new HashMap<>();
    parts.forEach((digest, part) -> contents.put(digest, part.content));
    return contents;
  }
}
