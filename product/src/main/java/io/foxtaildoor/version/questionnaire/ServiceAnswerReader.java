package io.foxtaildoor.version.questionnaire;

import static io.foxtaildoor.version.questionnaire.FieldReader.listReader;

import io.foxtaildoor.common.Rank;
import io.foxtaildoor.common.ServiceId;
import io.foxtaildoor.version.questionnaire.FieldReader.ValueReader;
import io.foxtaildoor.version.questionnaire.YamlNode.Entry;
import io.foxtaildoor.version.questionnaire.YamlNode.Mapping;
import io.foxtaildoor.version.routing.Service;
import java.time.Duration;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Reads the elements of the list {@code services}. */
final class ServiceAnswerReader implements ValueReader<ServiceAnswer> {
  private static final Set<String> KEYS =
      Set.of("id", "callers", "slots", "connections", "coldStart", "reserved");

  private final Set<ServiceId> seenIds;

  /** Creates a reader that adds each id it reads to {@code seenIds} and reports duplicates. */
  ServiceAnswerReader(Set<ServiceId> seenIds) {
    this.seenIds = seenIds;
  }

  @Override
  public Optional<ServiceAnswer> read(YamlNode node, String path, ProblemList problems) {
    return FieldReader.open(node, path, KEYS, problems)
        .flatMap(fields -> readService(fields, problems));
  }

  private Optional<ServiceAnswer> readService(FieldReader fields, ProblemList problems) {
    Optional<ServiceId> id = fields.required("id", ValueReaders.id(ServiceId::new));
    if (id.isPresent() && !seenIds.add(id.get())) {
      String message = "the service " + id.get() + " occurs twice";
      problems.add(ProblemKind.DUPLICATE_NAME, fields.pathOf("id"), fields.lineOf("id"), message);
    }
    Optional<List<String>> callers =
        fields.required(
            "callers", listReader(Limits.MAX_CALLERS, ValueReaders.caller(Service.ANY_CALLER)));
    callers.ifPresent(list -> checkCallers(list, fields, problems));
    Optional<Integer> slots = fields.required("slots", ValueReaders.integer(1, Limits.MAX_SLOTS));
    Optional<Integer> connections =
        fields.required("connections", ValueReaders.integer(1, Limits.MAX_CONNECTIONS));
    if (slots.isPresent() && connections.isPresent() && connections.get() < slots.get()) {
      problems.add(
          ProblemKind.INCONSISTENT,
          fields.pathOf("connections"),
          fields.lineOf("connections"),
          connections.get() + " connections cannot serve " + slots.get() + " slots");
    }
    Optional<Duration> coldStart =
        fields.optional(
            "coldStart",
            Limits.DEFAULT_COLD_START,
            ValueReaders.duration(Duration.ZERO, Limits.MAX_COLD_START));
    Optional<Map<Rank, Integer>> reserved =
        fields.optional("reserved", Map.of(), ServiceAnswerReader::readReservedShares);
    if (id.isEmpty() || callers.isEmpty() || slots.isEmpty() || connections.isEmpty()) {
      return Optional.empty();
    }
    return coldStart.flatMap(
        start ->
            reserved.map(
                shares ->
                    new ServiceAnswer(
                        id.get(), callers.get(), slots.get(), connections.get(), start, shares)));
  }

  private static void checkCallers(List<String> callers, FieldReader fields, ProblemList problems) {
    String path = fields.pathOf("callers");
    int line = fields.lineOf("callers");
    Set<String> distinct = new HashSet<>(callers);
    if (distinct.size() < callers.size()) {
      problems.add(ProblemKind.DUPLICATE_NAME, path, line, "a caller occurs twice");
    }
    if (distinct.size() > 1 && distinct.contains(Service.ANY_CALLER)) {
      String message = "\"*\" admits every caller, so it must be the only one";
      problems.add(ProblemKind.INCONSISTENT, path, line, message);
    }
  }

  private static Optional<Map<Rank, Integer>> readReservedShares(
      YamlNode node, String path, ProblemList problems) {
    if (!(node instanceof Mapping mapping)) {
      FieldReader.reportWrongType(node, path, "a mapping of ranks to percentages", problems);
      return Optional.empty();
    }
    Map<Rank, Integer> shares = new EnumMap<>(Rank.class);
    ValueReader<Integer> percent = ValueReaders.integer(0, Limits.MAX_RESERVED_PERCENT);
    for (Entry entry : mapping.entries()) {
      String childPath = ProblemTexts.childPath(path, entry.key());
      Optional<Rank> rank = ValueReaders.rank(entry.key());
      Optional<Integer> share = percent.read(entry.value(), childPath, problems);
      if (rank.isEmpty()) {
        String message = "unknown rank; allowed are " + Arrays.toString(Rank.values());
        problems.add(ProblemKind.UNKNOWN_KEY, childPath, entry.line(), message);
      } else if (shares.putIfAbsent(rank.get(), share.orElse(0)) != null) {
        problems.add(ProblemKind.DUPLICATE_KEY, childPath, entry.line(), "the key occurs twice");
      }
    }
    int sum = shares.values().stream().mapToInt(Integer::intValue).sum();
    if (sum > Limits.MAX_RESERVED_PERCENT) {
      String message =
          "the shares sum to " + sum + "; at most " + Limits.MAX_RESERVED_PERCENT + " are allowed";
      problems.add(ProblemKind.INCONSISTENT, path, node, message);
    }
    return Optional.of(shares);
  }
}
