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
  private final int maxSteps;
  private final Deque<VersionStep> steps = new ArrayDeque<>();

  private record VersionStep(VersionStamp base, Set<TeamId> changedTeams) {}

  DeltaLog(int maxSteps) {
    this.maxSteps = maxSteps;
  }

  /** Adds the step from one version to the next one held. */
  void add(Manifest previous, Manifest next) {
    Set<TeamId> changed = new HashSet<>(previous.entries().keySet());
    changed.addAll(next.entries().keySet());
    changed.removeIf(
        team -> {
          var digest = previous.entries().get(team);
          return digest != null && digest.equals(next.entries().get(team));
        });
    steps.addLast(new VersionStep(previous.stamp(), Set.copyOf(changed)));
    if (steps.size() > maxSteps) {
      steps.removeFirst();
    }
  }

  /** Teams that were changed, added or removed since a version; empty when it is not logged. */
  Optional<Set<TeamId>> teamsChangedSince(VersionStamp base) {
    Set<TeamId> changed = new HashSet<>();
    boolean found = false;
    for (VersionStep step : steps) {
      found |= step.base().equals(base);
      if (found) {
        changed.addAll(step.changedTeams());
      }
    }
    return found ? Optional.of(changed) : Optional.empty();
  }
}
