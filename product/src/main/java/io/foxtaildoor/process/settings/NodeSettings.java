package io.foxtaildoor.process.settings;

import static io.foxtaildoor.process.settings.Setting.optional;
import static io.foxtaildoor.process.settings.Setting.required;
import static io.foxtaildoor.process.settings.SettingTypes.address;
import static io.foxtaildoor.process.settings.SettingTypes.duration;
import static io.foxtaildoor.process.settings.SettingTypes.endpoints;
import static io.foxtaildoor.process.settings.SettingTypes.hyphenatedEnum;
import static io.foxtaildoor.process.settings.SettingTypes.id;
import static io.foxtaildoor.process.settings.SettingTypes.integer;
import static io.foxtaildoor.process.settings.SettingTypes.optionalEndpoint;
import static io.foxtaildoor.process.settings.SettingTypes.port;
import static io.foxtaildoor.process.settings.SettingTypes.stringList;
import static io.foxtaildoor.process.settings.SettingTypes.upperCaseEnum;

import io.foxtaildoor.common.DataCentreId;
import io.foxtaildoor.common.NodeId;
import io.foxtaildoor.common.RegionId;
import io.foxtaildoor.common.ServiceId;
import io.foxtaildoor.request.admission.AdmissionMode;
import io.foxtaildoor.request.balance.SelectionMode;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** Definitions of all node settings: key, value format, default and description. */
public final class NodeSettings {
  /** API through which the node talks to the platform. */
  public enum PlatformInterface {
    /** The key-value API that this product defines. */
    STANDARD,
    /** The API of the users' managed platform. */
    MANAGED
  }

  /** Minimum severity of logged messages. */
  public enum LogLevel {
    /** Errors only. */
    ERROR,
    /** Errors, and conditions that may lead to errors. */
    WARN,
    /** Also state changes. */
    INFO,
    /** Also details for troubleshooting. */
    DEBUG
  }

  public static final Setting<String> CLUSTER =
      required(
          "node.cluster",
          id("cluster name", text -> new RegionId(text).value()),
          "name of the mesh that the node belongs to");

  public static final Setting<RegionId> REGION =
      required(
          "node.region", id("region id", RegionId::new), "region in which the host is located");

  public static final Setting<DataCentreId> DATA_CENTRE =
      required(
          "node.dataCentre",
          id("data centre id", DataCentreId::new),
          "data centre in which the host is located");

  public static final Setting<InetAddress> ADDRESS =
      required(
          "node.address",
          address(),
          "IP address of the host, at which other nodes reach this node");

  public static final Setting<Optional<NodeId>> NODE_NAME =
      optional(
          "node.name",
          SettingTypes.optional(id("node name", NodeId::new)),
          Optional.empty(),
          "prefix of the node's id; defaults to the data centre id");

  public static final Setting<Optional<InetSocketAddress>> CALLER_ENDPOINT =
      optional(
          "listeners.callerEndpoint",
          optionalEndpoint(),
          Optional.empty(),
          "HTTP listen address for callers; replaces node.address and listeners.callerPort");

  public static final Setting<Optional<InetSocketAddress>> READINESS_ENDPOINT =
      optional(
          "listeners.readinessEndpoint",
          optionalEndpoint(),
          Optional.empty(),
          "HTTP listen address for readiness checks by a managed platform");

  public static final Setting<Optional<InetSocketAddress>> REPORTS_ENDPOINT =
      optional(
          "listeners.reportsEndpoint",
          optionalEndpoint(),
          Optional.empty(),
          "HTTP listen address for the reports that the upstream of a managed platform sends");

  public static final Setting<Optional<InetSocketAddress>> UPSTREAM_ENDPOINT =
      optional(
          "upstream.endpoint",
          optionalEndpoint(),
          Optional.empty(),
          "HTTP address of the upstream of a managed platform");

  public static final Setting<Optional<ServiceId>> UPSTREAM_SERVICE =
      optional(
          "upstream.service",
          SettingTypes.optional(id("service id", ServiceId::new)),
          Optional.empty(),
          "service id of the upstream of a managed platform, and of the callers on the same host");

  public static final Setting<PlatformInterface> PLATFORM_INTERFACE =
      optional(
          "platform.interface",
          hyphenatedEnum(PlatformInterface.class),
          PlatformInterface.STANDARD,
          "API through which the node talks to the platform");

  public static final Setting<List<String>> PLATFORM_BOUNDS =
      optional(
              "platform.bounds",
              stringList("name=value"),
              List.of(),
              "limits that a managed platform sets for the deployment")
          .asReloadable();

  public static final Setting<Integer> CALLER_PORT =
      optional("listeners.callerPort", port(), 7480, "HTTP port for callers");

  public static final Setting<Integer> PEER_PORT =
      optional("listeners.peerPort", port(), 7481, "TCP and UDP port for other nodes");

  public static final Setting<Integer> OPERATOR_PORT =
      optional(
          "listeners.operatorPort",
          port(),
          7482,
          "HTTP port for operators, metrics, health checks and upstream announcements");

  public static final Setting<Integer> MAX_CALLER_CONNECTIONS =
      optional(
          "listeners.maxCallerConnections",
          integer(1, 1_000_000),
          10_000,
          "maximum number of caller connections; once half of them are open, the connection of a "
              + "refused request is closed");

  public static final Setting<Optional<Integer>> MAX_DESCRIPTORS =
      optional(
          "process.descriptors",
          SettingTypes.optional(integer(64, 10_000_000)),
          Optional.empty(),
          "maximum number of open file descriptors of the process; caller connections use at most "
              + "three quarters of them");

  public static final Setting<List<InetSocketAddress>> CONTACTS =
      optional(
          "contacts",
          endpoints(),
          List.of(),
          "peer addresses of the nodes through which this node joins the cluster");

  public static final Setting<List<InetSocketAddress>> PLATFORM_ENDPOINTS =
      required("platform.endpoints", endpoints(), "endpoints of the platform's key-value service");

  public static final Setting<Duration> PLATFORM_CALL_TIMEOUT =
      optional(
          "platform.callTimeout",
          duration(Duration.ofMillis(100), Duration.ofSeconds(30)),
          Duration.ofSeconds(2),
          "timeout of a call to the platform");

  public static final Setting<Integer> PLATFORM_BACKGROUND_BURST =
      optional(
          "platform.backgroundBurst",
          integer(1, 100),
          5,
          "maximum burst of background calls to the platform");

  public static final Setting<Integer> PLATFORM_BACKGROUND_RATE =
      optional(
          "platform.backgroundCallsPerSecond",
          integer(1, 100),
          1,
          "sustained rate of background calls to the platform, in calls per second");

  public static final Setting<Duration> PLATFORM_START_DELAY =
      optional(
          "platform.startDelay",
          duration(Duration.ZERO, Duration.ofMinutes(5)),
          Duration.ofSeconds(5),
          "maximum random delay before the first background call; spreads the load when many "
              + "nodes restart at once");

  public static final Setting<Duration> PROBE_INTERVAL =
      optional(
          "membership.probeInterval",
          duration(Duration.ofMillis(50), Duration.ofSeconds(30)),
          Duration.ofSeconds(1),
          "interval between membership probes");

  public static final Setting<Duration> SUSPICION_TIMEOUT =
      optional(
          "membership.suspicionTimeout",
          duration(Duration.ofMillis(200), Duration.ofMinutes(2)),
          Duration.ofSeconds(4),
          "time within which a suspected node can refute the suspicion");

  public static final Setting<Integer> FANOUT =
      optional(
          "distribution.fanout",
          integer(1, 16),
          4,
          "number of nodes that are notified of a new version");

  public static final Setting<Integer> RETRY_BUDGET_PERCENT =
      optional(
              "requests.retryBudgetPercent",
              integer(0, 100),
              10,
              "number of retries allowed per 100 requests of a service")
          .asReloadable();

  public static final Setting<AdmissionMode> ADMISSION_MODE =
      optional(
          "requests.admission",
          hyphenatedEnum(AdmissionMode.class),
          AdmissionMode.RANKS,
          "order in which queued requests are admitted; fifo ignores ranks and is meant for "
              + "comparison measurements only");

  public static final Setting<SelectionMode> SELECTION_MODE =
      optional(
          "requests.selection",
          hyphenatedEnum(SelectionMode.class),
          SelectionMode.POWER_OF_TWO,
          "load-balancing algorithm that selects the upstream instance; round-robin is meant for "
              + "comparison measurements only");

  public static final Setting<Duration> ANNOUNCEMENT_EXPIRY =
      optional(
          "upstream.announcementExpiry",
          duration(Duration.ofMillis(500), Duration.ofMinutes(5)),
          Duration.ofSeconds(6),
          "time after which an upstream announcement expires unless it is renewed");

  public static final Setting<Duration> DRAIN_TIMEOUT =
      optional(
          "stop.drainTimeout",
          duration(Duration.ZERO, Duration.ofMinutes(10)),
          Duration.ofSeconds(30),
          "maximum time that a shutdown waits for in-flight requests; on a managed platform its"
              + " stop limit applies instead");

  public static final Setting<LogLevel> LOG_LEVEL =
      optional(
              "log.level",
              upperCaseEnum(LogLevel.class),
              LogLevel.INFO,
              "minimum level of logged messages")
          .asReloadable();

  /** All settings, in the order of the reference page. */
  public static final List<Setting<?>> ALL =
      List.of(
          CLUSTER,
          REGION,
          DATA_CENTRE,
          ADDRESS,
          CALLER_PORT,
          PEER_PORT,
          OPERATOR_PORT,
          MAX_CALLER_CONNECTIONS,
          MAX_DESCRIPTORS,
          CONTACTS,
          PLATFORM_ENDPOINTS,
          PLATFORM_CALL_TIMEOUT,
          PLATFORM_BACKGROUND_BURST,
          PLATFORM_BACKGROUND_RATE,
          PLATFORM_START_DELAY,
          PROBE_INTERVAL,
          SUSPICION_TIMEOUT,
          FANOUT,
          RETRY_BUDGET_PERCENT,
          ADMISSION_MODE,
          SELECTION_MODE,
          ANNOUNCEMENT_EXPIRY,
          DRAIN_TIMEOUT,
          LOG_LEVEL,
          NODE_NAME,
          CALLER_ENDPOINT,
          READINESS_ENDPOINT,
          REPORTS_ENDPOINT,
          UPSTREAM_ENDPOINT,
          UPSTREAM_SERVICE,
          PLATFORM_INTERFACE,
          PLATFORM_BOUNDS);

  private NodeSettings() {}

  /** Renders the Markdown reference page that documents all settings. */
  public static String referencePage() {
    StringBuilder page = new StringBuilder(4_000);
    page.append("# Settings of a node\n\n");
    page.append(
        "Generated by `foxtaildoor check --reference`; a test checks that it is current. A ");
    page.append(
        "node reloads its settings file on SIGHUP and when the file changes. A new value takes ");
    page.append(
        "effect on reload if the `reload` column says `yes`, otherwise at the next start.\n\n");
    page.append("| key | format | default | reload | description |\n|---|---|---|---|---|\n");
    ALL.forEach(setting -> page.append(referenceRow(setting)));
    return page.toString();
  }

  private static <T> String referenceRow(Setting<T> setting) {
    String defaultValue = setting.defaultValue().map(setting.type().formatter()).orElse("required");
    return String.format(
        java.util.Locale.ROOT,
        "| `%s` | %s | %s | %s | %s |\n",
        setting.key(),
        setting.type().description(),
        defaultValue,
        setting.reloadable() ? "yes" : "no",
        setting.description());
  }
}
