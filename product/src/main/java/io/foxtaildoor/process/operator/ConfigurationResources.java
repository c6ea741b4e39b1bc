package io.foxtaildoor.process.operator;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.common.TeamId;
import io.foxtaildoor.process.membership.Membership;
import io.foxtaildoor.process.membership.StatusAnswer;
import io.foxtaildoor.version.generation.ConfigurationRenderer;
import io.foxtaildoor.version.manifest.ConfigurationSnapshot;
import io.foxtaildoor.version.manifest.VersionStamp;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * HTTP resources for the configuration in force on this node and for the versions held by all
 * nodes.
 */
public final class ConfigurationResources implements ApplicationAudit.Fleet {
  /**
   * Base duration of a status query, within which the requests to up to 100 nodes are sent and
   * answered.
   */
  private static final Duration BASE_QUERY_DURATION = Duration.ofMillis(300);

  /**
   * Additional query duration per node; limits a status query of 12,000 nodes to 4,000 requests per
   * second.
   */
  private static final Duration QUERY_DURATION_PER_NODE = Duration.ofNanos(250_000);

  private final Supplier<ConfigurationSnapshot> held;
  private final Membership membership;

  /** Creates the resources. */
  public ConfigurationResources(Supplier<ConfigurationSnapshot> held, Membership membership) {
    this.held = held;
    this.membership = membership;
  }

  /** Adds the resources to a router. */
  public void register(OperatorRouter router) {
    router
        .add("GET", "/v1/config", request -> CompletableFuture.completedFuture(show(request)))
        .add("GET", "/v1/config/status", request -> status());
  }

  private OperatorResponse show(OperatorRequest request) {
    ConfigurationSnapshot configuration = held.get();
    List<TeamId> teams =
        request
            .parameter("team")
            .map(team -> List.of(new TeamId(team)))
            .orElseGet(() -> List.copyOf(configuration.manifest().entries().keySet()));
    return OperatorResponse.json(
        200,
        new ShownConfiguration(
            configuration.stamp().version(),
            configuration.stamp().digest().hex(),
            teams.stream().map(team -> shownTeam(configuration, team)).toList()));
  }

  /** JSON response with the configuration in force. */
  private record ShownConfiguration(long version, String digest, List<ShownTeam> teams) {}

  /** One team's part of the configuration, which is rendered as YAML. */
  private record ShownTeam(String team, String digest, String configuration) {}

  private static ShownTeam shownTeam(ConfigurationSnapshot configuration, TeamId team) {
    return configuration
        .teamConfiguration(team)
        .map(
            part ->
                new ShownTeam(
                    team.value(),
                    configuration.manifest().entries().get(team).hex(),
                    ConfigurationRenderer.render(part)))
        .orElseThrow(
            () ->
                new FoxtaildoorException(
                    ErrorKind.NOT_FOUND, "no configuration of team " + team + " is in force"));
  }

  @Override
  public int size() {
    return membership.nodes().size();
  }

  @Override
  public CompletableFuture<List<StatusAnswer>> queryStatus() {
    return membership.queryStatus(
        BASE_QUERY_DURATION.plus(QUERY_DURATION_PER_NODE.multipliedBy(size())));
  }

  private CompletableFuture<OperatorResponse> status() {
    return queryStatus().thenApply(answers -> OperatorResponse.json(200, fleetStatus(answers)));
  }

  /**
   * JSON response with the status of all nodes. The version is the newest one that any node holds.
   */
  private record FleetStatus(
      long version, String digest, int inForce, int total, List<ShownNode> nodes) {}

  /** Status of one node. Versions are 0 when the node did not answer. */
  private record ShownNode(
      String node,
      String dataCentre,
      String state,
      boolean answered,
      long version,
      String digest,
      long rejectedVersion,
      String rejection,
      long breaches) {}

  private FleetStatus fleetStatus(List<StatusAnswer> answers) {
    VersionStamp newest =
        answers.stream()
            .flatMap(answer -> answer.status().stream())
            .map(status -> status.heldVersion())
            .reduce(held.get().stamp(), (left, right) -> right.isNewerThan(left) ? right : left);
    List<ShownNode> nodes =
        answers.stream()
            .map(ConfigurationResources::shownNode)
            .sorted(Comparator.comparing(ShownNode::node))
            .toList();
    int inForce = (int) nodes.stream().filter(node -> holdsVersion(node, newest)).count();
    return new FleetStatus(newest.version(), newest.digest().hex(), inForce, nodes.size(), nodes);
  }

  private static boolean holdsVersion(ShownNode node, VersionStamp stamp) {
    return node.version() == stamp.version() && node.digest().equals(stamp.digest().hex());
  }

  private static ShownNode shownNode(StatusAnswer answer) {
    String id = answer.node().id().value();
    String dataCentre = answer.node().dataCentre().value();
    String state = answer.node().state().name();
    return answer
        .status()
        .map(
            status ->
                new ShownNode(
                    id,
                    dataCentre,
                    state,
                    true,
                    status.heldVersion().version(),
                    status.heldVersion().digest().hex(),
                    status.rejectedVersion(),
                    status.rejection(),
                    status.invariantBreaches()))
        .orElseGet(() -> new ShownNode(id, dataCentre, state, false, 0, "", 0, "", 0));
  }
}
