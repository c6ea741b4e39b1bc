package io.foxtaildoor.process.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;

/**
 * The current settings of a running process. A reload replaces the values of reloadable settings
 * only. Thread-safe.
 */
public final class LiveSettings {
  private final List<Setting<?>> definitions;
  private final AtomicReference<Settings> current;

  /**
   * Keys of the settings whose value differs after a reload.
   *
   * @param applied keys whose new value is in effect
   * @param deferred keys whose new value takes effect only after a restart; the previous value
   *     stays in effect
   */
  public record Change(List<String> applied, List<String> deferred) {
    /** Returns whether no value changed. */
    public boolean isEmpty() {
      return applied.isEmpty() && deferred.isEmpty();
    }
  }

  /** Creates the holder with the settings that were read at process start. */
  public LiveSettings(List<Setting<?>> definitions, Settings initial) {
    this.definitions = List.copyOf(definitions);
    this.current = new AtomicReference<>(initial);
  }

  /** Returns the value that is currently in effect. */
  public <T> T get(Setting<T> setting) {
    return current.get().get(setting);
  }

  /**
   * Applies the reloadable values of validated settings and reports all keys whose value differs.
   */
  public synchronized Change replace(Settings newSettings) {
    Settings previousSettings = current.get();
    Map<String, Object> values = new HashMap<>();
    List<String> applied = new ArrayList<>();
    List<String> deferred = new ArrayList<>();
    for (Setting<?> setting : definitions) {
      boolean changed = !Objects.equals(previousSettings.get(setting), newSettings.get(setting));
      if (changed) {
        (setting.reloadable() ? applied : deferred).add(setting.key());
      }
      values.put(
          setting.key(), (setting.reloadable() ? newSettings : previousSettings).get(setting));
    }
    current.set(new Settings(values));
    return new Change(applied, deferred);
  }
}
