package io.foxtaildoor.version.distribution;

import io.foxtaildoor.common.TeamId;
import io.foxtaildoor.version.manifest.Manifest;
import io.foxtaildoor.version.manifest.VersionStamp;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Which teams changed with each of the last versions.
 *
 * <p>It keeps the changed teams and not the manifests, which would take several megabytes at 810
 * teams.
 */
final class DeltaLog {
  private final int limit;
  private final Deque<Step> steps = new ArrayDeque<>();

  private record Step(VersionStamp base, Set<TeamId> touched) {}

  DeltaLog(int limit) {
    this.limit = limit;
  }

  /** Adds the step from one version to the next one held. */
  void add(Manifest former, Manifest next) {
    Set<TeamId> touched = new HashSet<>(former.entries().keySet());
    touched.addAll(next.entries().keySet());
    touched.removeIf(
        team -> {
          var digest = former.entries().get(team);
          return digest != null && digest.equals(next.entries().get(team));
        });
    steps.addLast(new Step(former.stamp(), Set.copyOf(touched)));
    if (steps.size() > limit) {
      steps.removeFirst();
    }
  }

  /** Teams that were changed, added or removed since a version; empty when it is not logged. */
  Optional<Set<TeamId>> touchedSince(VersionStamp base) {
    Set<TeamId> touched = new HashSet<>();
    boolean found = false;
    for (Step step : steps) {
      found |= step.base().equals(base);
      if (found) {
        touched.addAll(step.touched());
      }
    }
    return found ? Optional.of(touched) : Optional.empty();
  }
}
