/** Writes configurations as the operator does. */
final class Configs {
  private Configs() {}

  /** One route of the configuration. */
  record Route(String name, String host, String prefix, String service, String type,
      String timeout, String target, int attempts, int priority) {
    String row() {
      return String.format(
          "[\"%s\",\"%s\",\"%s\",\"%s\",\"%s\",\"%s\",\"%s\",%d,%d]",
          name, host, prefix, service, type, timeout, target, attempts, priority);
    }
  }

  static String document(int version, String[] services, Route... routes) {
    StringBuilder rows = new StringBuilder();
    for (Route route : routes) {
      rows.append(rows.length() == 0 ? "" : ",").append(route.row());
    }
    StringBuilder named = new StringBuilder();
    for (String service : services) {
      named
          .append(named.length() == 0 ? "" : ",")
          .append("[\"").append(service).append("\",\"/healthz\",110]");
    }
    return "{\"version\":\"r" + version + "\",\"routes\":{\"columns\":[\"name\",\"hostname\","
        + "\"prefix\",\"service\",\"route_type\",\"timeout\",\"target_latency\",\"attempts\","
        + "\"priority\"],\"rows\":[" + rows + "]},\"services\":{\"columns\":[\"name\","
        + "\"health_path\",\"max_connections\"],\"rows\":[" + named + "]},\"limits\":{"
        + "\"max_header_bytes\":16384,\"max_body_bytes\":1048576,\"header_timeout\":\"5s\","
        + "\"idle_timeout\":\"10s\"}}";
  }
}
