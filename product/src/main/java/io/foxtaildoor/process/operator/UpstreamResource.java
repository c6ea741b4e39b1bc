package io.foxtaildoor.process.operator;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.common.Json;
import io.foxtaildoor.common.ServiceId;
import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** HTTP resource through which the upstream on the node's host announces and withdraws itself. */
public final class UpstreamResource {
  private static final Pattern ADDRESS = Pattern.compile("(.+):(\\d{1,5})");
  private static final int MAX_PORT = 65_535;
  private static final int MAX_SLOTS = 10_000;

  private final InetAddress host;
  private final Announcer announcer;

  /** Receives the announcements. */
  public interface Announcer {
    /** Creates or renews the announcement. */
    void announce(ServiceId service, InetSocketAddress address, int slots);

    /** Withdraws the announcement. */
    void withdraw();
  }

  /**
   * Creates the resource.
   *
   * @param host address of the node's host; announcements from other hosts are refused
   */
  public UpstreamResource(InetAddress host, Announcer announcer) {
    this.host = host;
    this.announcer = announcer;
  }

  /** Adds the resource to a router. */
  public void register(OperatorRouter router) {
    router
        .add("PUT", "/v1/upstream", request -> CompletableFuture.completedFuture(announce(request)))
        .add(
            "DELETE",
            "/v1/upstream",
            request -> CompletableFuture.completedFuture(withdraw(request)));
  }

  /** JSON request body of an announcement. */
  private record Announcement(String service, String address, int slots) {}

  private OperatorResponse announce(OperatorRequest request) {
    requireOwnHost(request.remote().getAddress());
    Announcement announcement = Json.read(request.body(), Announcement.class);
    if (announcement.slots() < 1 || announcement.slots() > MAX_SLOTS) {
      throw invalidInput("slots must be from 1 to " + MAX_SLOTS);
    }
    announcer.announce(
        new ServiceId(announcement.service()),
        parseAddress(announcement.address()),
        announcement.slots());
    return OperatorResponse.json(200, announcement);
  }

  private OperatorResponse withdraw(OperatorRequest request) {
    requireOwnHost(request.remote().getAddress());
    announcer.withdraw();
    return OperatorResponse.json(200, java.util.Map.of());
  }

  private void requireOwnHost(InetAddress remote) {
    if (!remote.isLoopbackAddress() && !remote.equals(host)) {
      throw new FoxtaildoorException(
          ErrorKind.FORBIDDEN, "an upstream announces itself to the node on its own host");
    }
  }

  private InetSocketAddress parseAddress(String text) {
    Matcher matcher = ADDRESS.matcher(String.valueOf(text));
    if (!matcher.matches()) {
      throw invalidInput("address must be IP:PORT");
    }
    InetAddress address = NetUtil.createInetAddressFromIpAddressString(matcher.group(1));
    int port = Integer.parseInt(matcher.group(2));
    if (address == null || port < 1 || port > MAX_PORT) {
      throw invalidInput("address must be IP:PORT");
    }
    if (!address.isLoopbackAddress() && !address.equals(host)) {
      throw invalidInput("the upstream must be on the host of its node");
    }
    return new InetSocketAddress(address, port);
  }

  private static FoxtaildoorException invalidInput(String message) {
    return new FoxtaildoorException(ErrorKind.INVALID_INPUT, message);
  }
}
