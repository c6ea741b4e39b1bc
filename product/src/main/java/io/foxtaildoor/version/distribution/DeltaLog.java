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
 * Records which teams changed in each of the most recent versions.
 *
 * <p>Stores only the changed teams; the complete manifests would take several megabytes with 810
 * teams.
 */
final class DeltaLog {
  private final int maxSteps;
  private final Deque<VersionStep> steps = new ArrayDeque<>();

  private record VersionStep(VersionStamp base, Set<TeamId> changedTeams) {}

  DeltaLog(int maxSteps) {
    this.maxSteps = maxSteps;
  }

  /** Records the change from one version to the next version in force on this node. */
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

  /**
   * Returns the teams that were changed, added or removed since a version, or empty when the log
   * does not contain that version.
   */
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
