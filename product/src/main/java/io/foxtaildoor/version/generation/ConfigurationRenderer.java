package io.foxtaildoor.version.generation;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.dataformat.yaml.YAMLGenerator;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.common.Quantities;
import io.foxtaildoor.common.Rank;
import io.foxtaildoor.protocol.ReservedShare;
import io.foxtaildoor.protocol.RouteConfiguration;
import io.foxtaildoor.protocol.ServiceConfiguration;
import io.foxtaildoor.protocol.TeamConfiguration;
import java.util.LinkedHashMap;
import java.util.Map;

/** Renders a team's configuration as a YAML questionnaire in which all defaults are written out. */
public final class ConfigurationRenderer {
  private static final YAMLMapper YAML =
      YAMLMapper.builder()
          .disable(YAMLGenerator.Feature.WRITE_DOC_START_MARKER)
          .disable(YAMLGenerator.Feature.SPLIT_LINES)
          .enable(YAMLGenerator.Feature.MINIMIZE_QUOTES)
          .enable(YAMLGenerator.Feature.ALWAYS_QUOTE_NUMBERS_AS_STRINGS)
          .enable(YAMLGenerator.Feature.INDENT_ARRAYS_WITH_INDICATOR)
          .build();

  private ConfigurationRenderer() {}

  /**
   * Renders a configuration as a questionnaire. Reading that questionnaire and generating from it
   * yields an equal configuration.
   */
  public static String render(TeamConfiguration configuration) {
    Map<String, Object> document = new LinkedHashMap<>();
    document.put("member", configuration.getMember());
    document.put("team", configuration.getTeam());
    document.put(
        "services",
        configuration.getServicesList().stream()
            .map(ConfigurationRenderer::serviceFields)
            .toList());
    document.put(
        "work",
        configuration.getRoutesList().stream().map(ConfigurationRenderer::routeFields).toList());
    try {
      return YAML.writeValueAsString(document);
    } catch (JsonProcessingException e) {
      throw new FoxtaildoorException(ErrorKind.INTERNAL, "a configuration cannot be rendered", e);
    }
  }

  private static Map<String, Object> serviceFields(ServiceConfiguration service) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("id", service.getId());
    fields.put("callers", service.getCallersList());
    fields.put("slots", service.getSlots());
    fields.put("connections", service.getConnections());
    fields.put("coldStart", Quantities.SHORT_DURATIONS.format(service.getColdStartMillis()));
    Map<String, Object> reserved = new LinkedHashMap<>();
    for (ReservedShare share : service.getReservedSharesList()) {
      reserved.put(Rank.of(share.getRankValue()).name(), share.getPercent());
    }
    fields.put("reserved", reserved);
    return fields;
  }

  private static Map<String, Object> routeFields(RouteConfiguration route) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("name", route.getName());
    fields.put("host", route.getHost());
    fields.put("methods", route.getMethodsList());
    fields.put("path", route.getPath());
    fields.put("prefix", route.getPrefix());
    fields.put("service", route.getService());
    fields.put("idempotent", route.getIdempotent());
    fields.put("rank", Rank.of(route.getRankValue()).name());
    fields.put("deadline", Quantities.SHORT_DURATIONS.format(route.getDeadlineMillis()));
    fields.put("maxBody", Quantities.SIZES.format(route.getMaxBodyBytes()));
    return fields;
  }
}
