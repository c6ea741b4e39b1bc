package io.foxtaildoor.standins.upstream;

import java.nio.file.Path;
import org.kohsuke.args4j.Option;

/** Command line of the stand-in. */
final class StandInOptions {
  @Option(name = "--address", usage = "address to listen on")
  String address = "127.0.0.1";

  @Option(name = "--port", usage = "port to listen on; 0 takes a free one")
  int port;

  @Option(name = "--port-file", usage = "file that gets the port once the stand-in listens")
  Path portFile;

  @Option(name = "--service", usage = "service to announce")
  String service = "bookings";

  @Option(name = "--slots", usage = "requests served at a time")
  int slots = 9;

  @Option(name = "--queue", usage = "requests that may wait for a slot")
  int queue = 9;

  @Option(name = "--service-time", usage = "mean service time in milliseconds")
  int serviceTimeMillis = 10;

  @Option(name = "--cold-start", usage = "milliseconds until the service time is normal")
  int coldStartMillis = 2_000;

  @Option(name = "--seed", usage = "seed of the service times and of the faults")
  long seed = 1;

  @Option(name = "--announce", usage = "HOST:PORT of the operator listener of the node")
  String announce;
}
