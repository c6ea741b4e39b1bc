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

/** Immutable snapshot of one complete configuration version that has passed all checks. */
public final class ConfigurationSnapshot {
  /** The empty configuration that a node has before it receives the first version. */
  public static final ConfigurationSnapshot EMPTY =
      new ConfigurationSnapshot(Manifest.EMPTY, Map.of(), RouteTable.EMPTY, CallerLimits.NONE);

  private final Manifest manifest;
  private final Map<Digest, CheckedPart> parts;
  private final RouteTable routes;
  private final CallerLimits callerLimits;

  /**
   * The content of a part, with the routes and limits read from it once the part passed its checks.
   */
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
   * Builds a snapshot from the manifest of a version and the contents of all its parts.
   *
   * @throws FoxtaildoorException with {@link ErrorKind#BAD_CONFIGURATION} if a part is missing,
   *     does not match its digest, cannot be parsed, names another team or refers to a service that
   *     does not exist
   */
  public static ConfigurationSnapshot build(Manifest manifest, Map<Digest, byte[]> parts) {
    return build(manifest, parts, EMPTY);
  }

  /**
   * Builds the same snapshot as {@link #build(Manifest, Map)}, but reuses the parts of a previous
   * snapshot that have the same team, digest and content. Hashing and parsing all parts again would
   * take most of the time when only one of many teams has changed.
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

  /**
   * Returns the part of this snapshot with the same team, digest and content, or null if there is
   * none. The content is compared as well: this is cheap, and without it content that does not
   * match its digest would bypass the digest check.
   */
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

  /** Returns the caller limits that this version sets; the node's settings apply to the others. */
  public CallerLimits callerLimits() {
    return callerLimits;
  }

  /** Returns the content of a part. The array is shared and must not be modified. */
  public Optional<byte[]> part(Digest digest) {
    return Optional.ofNullable(parts.get(digest)).map(CheckedPart::content);
  }

  /** Returns the configuration of a team, parsed anew at each call. */
  public Optional<TeamConfiguration> teamConfiguration(TeamId team) {
    return Optional.ofNullable(manifest.entries().get(team))
        .flatMap(this::part)
        .map(ConfigurationSnapshot::parse);
  }

  /**
   * Returns a new map with the contents of all parts by digest. The arrays are shared and must not
   * be modified.
   */
  public Map<Digest, byte[]> parts() {
    Map<Digest, byte[]> contents = new HashMap<>();
    parts.forEach((digest, part) -> contents.put(digest, part.content));
    return contents;
  }
}
