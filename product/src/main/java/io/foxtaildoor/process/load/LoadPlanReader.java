package io.foxtaildoor.process.load;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.deser.std.StdDeserializer;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.common.Quantities;
import java.io.IOException;
import java.time.Duration;
import java.util.OptionalLong;

/**
 * Reads a load plan from YAML. The keys are the component names of {@link LoadPlan} and {@link
 * StreamPlan}.
 */
public final class LoadPlanReader {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder(new YAMLFactory())
          .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
          .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .addModule(new SimpleModule().addDeserializer(Duration.class, new DurationReader()))
          .build();

  private LoadPlanReader() {}

  /**
   * Reads a plan.
   *
   * @throws FoxtaildoorException with {@link ErrorKind#INVALID_INPUT} when the plan is malformed
   */
  public static LoadPlan read(String yaml) {
    try {
      LoadPlan plan = MAPPER.readValue(yaml, LoadPlan.class);
      if (plan == null) {
        throw new FoxtaildoorException(ErrorKind.INVALID_INPUT, "load plan is empty");
      }
      return plan;
    } catch (JsonMappingException e) {
      if (e.getCause() instanceof FoxtaildoorException invalid) {
        throw invalid;
      }
      throw invalid(e);
    } catch (JsonProcessingException e) {
      throw invalid(e);
    }
  }

  private static FoxtaildoorException invalid(JsonProcessingException cause) {
    return new FoxtaildoorException(
        ErrorKind.INVALID_INPUT, "load plan: " + cause.getOriginalMessage(), cause);
  }

  /** Deserializes durations such as {@code 500ms}, {@code 5s} and {@code 2m}. */
  private static final class DurationReader extends StdDeserializer<Duration> {
    DurationReader() {
      super(Duration.class);
    }

    @Override
    public Duration deserialize(JsonParser parser, DeserializationContext context)
        throws IOException {
      String text = parser.getValueAsString("");
      OptionalLong millis = Quantities.SHORT_DURATIONS.parse(text);
      if (millis.isEmpty()) {
        throw JsonMappingException.from(
            parser, "\"" + text + "\" is not a duration such as 500ms, 5s or 2m");
      }
      return Duration.ofMillis(millis.getAsLong());
    }
  }
}
