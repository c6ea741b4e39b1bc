package io.foxtaildoor.standins.upstream;

import java.nio.file.Path;
import org.kohsuke.args4j.Option;

/** Command-line options of the upstream stand-in. */
final class StandInOptions {
  @Option(name = "--address", usage = "address to listen on")
  String address = "127.0.0.1";

  @Option(name = "--port", usage = "port to listen on; 0 chooses a free one")
  int port;

  @Option(
      name = "--port-file",
      usage = "file to which the port is written once the stand-in listens")
  Path portFile;

  @Option(name = "--service", usage = "name of the service to announce")
  String service = "bookings";

  @Option(name = "--slots", usage = "number of requests served concurrently")
  int slots = 9;

  @Option(name = "--queue", usage = "maximum number of requests that wait for a slot")
  int queue = 9;

  @Option(name = "--service-time", usage = "mean service time in milliseconds")
  int serviceTimeMillis = 10;

  @Option(
      name = "--cold-start",
      usage = "duration of the cold start in milliseconds, during which requests take longer")
  int coldStartMillis = 2_000;

  @Option(
      name = "--seed",
      usage = "random seed of the service times and of the share of faulty requests")
  long seed = 1;

  @Option(
      name = "--announce",
      usage = "HOST:PORT of the node's operator listener, to which the service is announced")
  String announce;
}
