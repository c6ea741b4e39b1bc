package io.foxtaildoor.version.generation;

import io.foxtaildoor.common.Rank;
import io.foxtaildoor.protocol.ReservedShare;
import io.foxtaildoor.protocol.RouteConfiguration;
import io.foxtaildoor.protocol.ServiceConfiguration;
import io.foxtaildoor.protocol.TeamConfiguration;
import io.foxtaildoor.protocol.WireRank;
import io.foxtaildoor.version.questionnaire.Questionnaire;
import io.foxtaildoor.version.questionnaire.ServiceAnswer;
import io.foxtaildoor.version.questionnaire.WorkAnswer;
import java.util.Comparator;
import java.util.Map;

/**
 * Generates the configuration of a team. All lists are sorted, so the same answers give the same
 * bytes in whatever order the document has them.
 */
public final class ConfigurationGenerator {
  private ConfigurationGenerator() {}

  /** Generates the configuration of checked answers. */
  public static TeamConfiguration generate(Questionnaire questionnaire) {
    TeamConfiguration.Builder team =
        TeamConfiguration.newBuilder()
            .setTeam(questionnaire.team().value())
            .setMember(questionnaire.member().value());
    questionnaire.services().stream()
        .sorted(Comparator.comparing(ServiceAnswer::id))
        .map(ConfigurationGenerator::toServiceConfiguration)
        .forEach(team::addServices);
    questionnaire.work().stream()
        .sorted(Comparator.comparing(WorkAnswer::name))
        .map(ConfigurationGenerator::toRouteConfiguration)
        .forEach(team::addRoutes);
    return team.build();
  }

  private static ServiceConfiguration toServiceConfiguration(ServiceAnswer answer) {
    ServiceConfiguration.Builder service =
        ServiceConfiguration.newBuilder()
            .setId(answer.id().value())
            .setSlots(answer.slots())
            .setConnections(answer.connections())
            .setColdStartMillis((int) answer.coldStart().toMillis());
    answer.callers().stream().sorted().forEach(service::addCallers);
    // A share of zero means the same as no share, so both give the same bytes.
    answer.reservedPercent().entrySet().stream()
        .filter(share -> share.getValue() > 0)
        .sorted(Map.Entry.comparingByKey())
        .forEach(
            share ->
                service.addReservedShares(
                    ReservedShare.newBuilder()
                        .setRank(toWireRank(share.getKey()))
                        .setPercent(share.getValue())));
    return service.build();
  }

  private static RouteConfiguration toRouteConfiguration(WorkAnswer answer) {
    RouteConfiguration.Builder route =
        RouteConfiguration.newBuilder()
            .setName(answer.name())
            .setHost(answer.host())
            .setPath(answer.path())
            .setPrefix(answer.prefix())
            .setService(answer.service().value())
            .setIdempotent(answer.idempotent())
            .setRank(toWireRank(answer.rank()))
            .setDeadlineMillis((int) answer.deadline().toMillis())
            .setMaxBodyBytes(answer.maxBodyBytes());
    answer.methods().stream().sorted().forEach(route::addMethods);
    return route.build();
  }

  private static WireRank toWireRank(Rank rank) {
    return switch (rank) {
      case URGENT -> WireRank.URGENT;
      case HIGH -> WireRank.HIGH;
      case NORMAL -> WireRank.NORMAL;
      case LOW -> WireRank.LOW;
    };
  }
}
