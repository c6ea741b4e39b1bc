package io.foxtaildoor.process.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;

/** Renders a report as JSON. The keys are the component names of the report records. */
final class JsonReport implements ReportFormat {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .enable(SerializationFeature.INDENT_OUTPUT)
          .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
          .build();

  @Override
  public String render(LoadReport report) {
    try {
      return MAPPER.writeValueAsString(report);
    } catch (JsonProcessingException e) {
      throw new FoxtaildoorException(ErrorKind.INTERNAL, "cannot write a load report", e);
    }
  }
}
