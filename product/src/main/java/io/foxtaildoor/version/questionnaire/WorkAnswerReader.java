package io.foxtaildoor.version.questionnaire;

import static io.foxtaildoor.version.questionnaire.FieldReader.listReader;

import io.foxtaildoor.common.Rank;
import io.foxtaildoor.common.ServiceId;
import io.foxtaildoor.version.questionnaire.FieldReader.ValueReader;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/** Reads the elements of the list {@code work}. */
final class WorkAnswerReader implements ValueReader<WorkAnswer> {
  private static final Set<String> KEYS =
      Set.of(
          "name",
          "host",
          "methods",
          "path",
          "prefix",
          "service",
          "idempotent",
          "rank",
          "deadline",
          "maxBody");

  private final Set<String> seenNames;

  /** Creates a reader that adds each name it reads to {@code seenNames} and reports duplicates. */
  WorkAnswerReader(Set<String> seenNames) {
    this.seenNames = seenNames;
  }

  @Override
  public Optional<WorkAnswer> read(YamlNode node, String path, ProblemList problems) {
    return FieldReader.open(node, path, KEYS, problems)
        .flatMap(fields -> readWork(fields, problems));
  }

  private Optional<WorkAnswer> readWork(FieldReader fields, ProblemList problems) {
    // The name of a kind of work has the same format as a service id.
    Optional<ServiceId> name = fields.required("name", ValueReaders.id(ServiceId::new));
    if (name.isPresent() && !seenNames.add(name.get().value())) {
      String message = "the name " + name.get() + " occurs twice";
      problems.add(
          ProblemKind.DUPLICATE_NAME, fields.pathOf("name"), fields.lineOf("name"), message);
    }
    Optional<String> host = fields.required("host", ValueReaders.host());
    Optional<List<String>> methods =
        fields.optional(
            "methods", List.of(), listReader(Limits.METHODS.size(), ValueReaders.method()));
    methods.ifPresent(list -> checkMethods(list, fields, problems));
    Optional<String> path = fields.required("path", ValueReaders.path());
    Optional<Boolean> prefix = fields.optional("prefix", false, ValueReaders.bool());
    Optional<ServiceId> service = fields.required("service", ValueReaders.id(ServiceId::new));
    Optional<Boolean> idempotent = fields.required("idempotent", ValueReaders.bool());
    Optional<Rank> rank = fields.optional("rank", Rank.NORMAL, ValueReaders.rank());
    Optional<Duration> deadline =
        fields.required(
            "deadline", ValueReaders.duration(Limits.MIN_DEADLINE, Limits.MAX_DEADLINE));
    Optional<Long> maxBody =
        fields.optional(
            "maxBody", Limits.DEFAULT_BODY_BYTES, ValueReaders.size(Limits.MAX_BODY_BYTES));
    boolean complete =
        Stream.of(name, host, methods, path, prefix, service, idempotent, rank, deadline, maxBody)
            .allMatch(Optional::isPresent);
    if (!complete) {
      return Optional.empty();
    }
    return Optional.of(
        new WorkAnswer(
            name.get().value(),
            host.get(),
            methods.get(),
            path.get(),
            prefix.get(),
            service.get(),
            idempotent.get(),
            rank.get(),
            deadline.get(),
            maxBody.get()));
  }

  private static void checkMethods(List<String> methods, FieldReader fields, ProblemList problems) {
    if (new HashSet<>(methods).size() < methods.size()) {
      String message = "a method occurs twice";
      problems.add(
          ProblemKind.DUPLICATE_NAME, fields.pathOf("methods"), fields.lineOf("methods"), message);
    }
  }
}
