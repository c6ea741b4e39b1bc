package io.foxtaildoor.process.cli;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.common.HeaderNames;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.kohsuke.args4j.Option;

/**
 * The {@code request} subcommand: sends one request through a node's caller listener and prints the
 * response.
 */
final class RequestCommand implements Command {
  private static final Duration TIMEOUT = Duration.ofSeconds(30);

  @Option(
      name = "--node",
      metaVar = "HOST:PORT",
      required = true,
      usage = "caller address of a node")
  private String node;

  @Option(name = "--host", metaVar = "NAME", required = true, usage = "value of the Host header")
  private String host;

  @Option(
      name = "--path",
      metaVar = "PATH",
      required = true,
      usage = "path, with an optional query string")
  private String path;

  @Option(name = "--method", metaVar = "METHOD", usage = "HTTP method")
  private String method = "GET";

  @Option(name = "--key", metaVar = "KEY", usage = "value of the Idempotency-Key header")
  private String key;

  @Option(name = "--body", metaVar = "TEXT", usage = "request body")
  private String body = "";

  @Override
  public int run(PrintStream out, PrintStream err) {
    // The JDK's HTTP client rejects a custom Host header unless this property allows it.
    System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
    HttpResponse<String> response = send(buildRequest());
    out.printf("%s %s%s -> %d%n", method, host, path, response.statusCode());
    response
        .headers()
        .map()
        .forEach(
            (name, values) -> {
              if (name.startsWith(HeaderNames.PREFIX)) {
                out.printf("  %s: %s%n", name, String.join(", ", values));
              }
            });
    out.println("  " + response.body().strip());
    return response.statusCode() < 400 ? Main.EXIT_SUCCESS : Main.EXIT_FAILURE;
  }

  private HttpRequest buildRequest() {
    try {
      HttpRequest.Builder request =
          HttpRequest.newBuilder(URI.create("http://" + node + path))
              .timeout(TIMEOUT)
              .header("Host", host)
              .method(method, HttpRequest.BodyPublishers.ofString(body));
      if (key != null) {
        request.header("Idempotency-Key", key);
      }
      return request.build();
    } catch (IllegalArgumentException e) {
      throw new FoxtaildoorException(ErrorKind.INVALID_INPUT, e.getMessage(), e);
    }
  }

  private HttpResponse<String> send(HttpRequest request) {
    HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    return NodeCalls.send(client, request, HttpResponse.BodyHandlers.ofString(), node);
  }
}
