package io.foxtaildoor.standins.upstream;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Map;

/** Counts executed requests in total and by id. Confined to the event loop of the stand-in. */
final class ExecutionLog {
  private final Map<String, Integer> started = new HashMap<>();
  private final Map<String, Integer> completed = new HashMap<>();
  private long totalStarted;
  private long totalCompleted;
  private long duplicates;
  private long shed;
  private long cancelled;
  private long expired;

  void recordStart(String id) {
    totalStarted++;
    if (!id.isEmpty() && started.merge(id, 1, Integer::sum) > 1) {
      duplicates++;
    }
  }

  void recordCompletion(String id) {
    totalCompleted++;
    if (!id.isEmpty()) {
      completed.merge(id, 1, Integer::sum);
    }
  }

  void recordShed() {
    shed++;
  }

  void recordCancellation() {
    cancelled++;
  }

  void recordExpiry() {
    expired++;
  }

  /** Returns how often the request with this id was started and completed. */
  ObjectNode countsOf(String id) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("id", id)
        .put("started", started.getOrDefault(id, 0))
        .put("completed", completed.getOrDefault(id, 0));
  }

  /** Returns the totals. Each start of an id after its first one counts as a duplicate. */
  ObjectNode totals() {
    return JsonNodeFactory.instance
        .objectNode()
        .put("started", totalStarted)
        .put("completed", totalCompleted)
        .put("duplicates", duplicates)
        .put("shed", shed)
        .put("cancelled", cancelled)
        .put("expired", expired);
  }
}
