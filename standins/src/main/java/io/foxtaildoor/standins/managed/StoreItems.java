package io.foxtaildoor.standins.managed;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/** The items of the store and the history of their changes. Confined to one event loop. */
final class StoreItems {
  private final SortedMap<String, Item> items = new TreeMap<>();
  private final List<ObjectNode> events = new ArrayList<>();
  private long revision = 1;
  private long compactedRevision;

  private record Item(String key, String value, long revision, long createdRevision) {
    ObjectNode json() {
      return JsonNodeFactory.instance
          .objectNode()
          .put("key", key)
          .put("value", value)
          .put("revision", revision)
          .put("created_rev", createdRevision)
          .put("lease_id", 0);
    }
  }

  long revision() {
    return revision;
  }

  /** Returns the item of a key; null when the key is absent. */
  ObjectNode get(String key) {
    Item item = items.get(key);
    return item == null ? null : item.json();
  }

  ArrayNode range(String prefix) {
    ArrayNode found = JsonNodeFactory.instance.arrayNode();
    items.values().stream()
        .filter(item -> item.key().startsWith(prefix))
        .forEach(item -> found.add(item.json()));
    return found;
  }

  /** Returns whether some of the history after this revision was dropped. */
  boolean isCompacted(long after) {
    return after < compactedRevision;
  }

  /** Drops the history. */
  void compact() {
    compactedRevision = revision;
    events.clear();
  }

  ArrayNode eventsAfter(String prefix, long after) {
    ArrayNode found = JsonNodeFactory.instance.arrayNode();
    for (ObjectNode event : events) {
      if (event.path("revision").asLong() > after
          && event.path("key").asText().startsWith(prefix)) {
        found.add(event);
      }
    }
    return found;
  }

  /**
   * Checks the conditions of a transaction, each of which gives the expected revision of a key.
   *
   * @return the present items of all conditions when at least one condition does not hold; empty
   *     when all hold
   */
  ArrayNode checkConditions(JsonNode conditions) {
    ArrayNode presentItems = JsonNodeFactory.instance.arrayNode();
    boolean allHold = true;
    for (JsonNode condition : conditions) {
      String key = condition.path("key").asText();
      ObjectNode item = get(key);
      long presentRevision = item == null ? 0 : item.path("revision").asLong();
      allHold &= presentRevision == condition.path("revision").asLong();
      presentItems.add(
          item == null
              ? JsonNodeFactory.instance.objectNode().put("key", key).put("revision", 0)
              : item);
    }
    return allHold ? JsonNodeFactory.instance.arrayNode() : presentItems;
  }

  /** Applies the changes of one transaction, all at the same new revision. */
  void apply(JsonNode writes, JsonNode removals) {
    revision++;
    for (JsonNode write : writes) {
      String key = write.path("key").asText();
      Item previous = items.get(key);
      long created = previous == null ? revision : previous.createdRevision();
      Item item = new Item(key, write.path("value").asText(), revision, created);
      items.put(key, item);
      events.add(item.json());
    }
    for (JsonNode removal : removals) {
      if (items.remove(removal.asText()) != null) {
        events.add(
            JsonNodeFactory.instance
                .objectNode()
                .put("key", removal.asText())
                .put("revision", revision)
                .put("deleted", true));
      }
    }
  }
}
