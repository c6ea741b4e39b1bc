package io.foxtaildoor.request.admission;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.Rank;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * Admission queue of one upstream: decides which waiting request gets the next free concurrency
 * slot. Thread-safe.
 *
 * <p>A free slot goes to a rank that has waiting requests and recently used less slot time than its
 * reserved share. If there is none, it goes to the highest rank that has waiting requests. Within a
 * rank, requests start in the order of their objectives, then of their deadlines.
 */
public final class AdmissionQueue<T> {
  /**
   * Smallest share of the slots that a wait estimate assumes. Keeps the estimate finite when other
   * ranks use all slots.
   */
  private static final double MIN_ESTIMATED_SHARE = 0.01;

  /** Fraction of its objective for which a request may always wait in the queue of its rank. */
  private static final double MIN_ALLOWED_WAIT_SHARE = 0.25;

  private final AdmissionSettings settings;
  private final LimitController limitController;
  private final ServiceTimes serviceTimes = new ServiceTimes();
  private final SlotUsage slotUsage;
  private final SlotUsage callSlotUsage;
  private final Map<Rank, TreeSet<Ticket<T>>> queues = new EnumMap<>(Rank.class);
  private final LateQueue<T> lateQueue;
  private UpstreamLimits limits;
  private long sequence;
  private int inFlight;
  private int queued;
  private boolean draining;

  /** Creates an empty queue. */
  public AdmissionQueue(AdmissionSettings settings, UpstreamLimits limits, long nowNanos) {
    this.settings = settings;
    this.limits = limits;
    this.limitController = new LimitController(settings, limits);
    this.slotUsage = new SlotUsage(settings.shareWindow().toNanos(), nowNanos);
    this.callSlotUsage = new SlotUsage(settings.shareWindow().toNanos(), nowNanos);
    this.lateQueue = new LateQueue<>(settings.maxLateWait().toNanos());
    for (Rank rank : Rank.values()) {
      queues.put(rank, new TreeSet<>(settings.mode().queueOrder()));
    }
  }

  /** Applies changed limits of the upstream. */
  public synchronized void configure(UpstreamLimits newLimits, long nowNanos) {
    advanceUsage(nowNanos);
    limits = newLimits;
    limitController.configure(newLimits);
  }

  private void advanceUsage(long nowNanos) {
    int limit = limitController.currentLimit(nowNanos);
    slotUsage.advance(nowNanos, limit);
    callSlotUsage.advance(nowNanos, limit);
  }

  /**
   * Queues a request without an objective of its own, or refuses it under the same conditions as
   * {@link #offer(Object, Rank, long, long, long)}.
   */
  public AdmissionDecision<T> offer(
      T request, Rank requestRank, long deadlineNanos, long nowNanos) {
    return offer(request, requestRank, deadlineNanos, deadlineNanos, nowNanos);
  }

  /**
   * Queues a request, or refuses it when it cannot finish before its deadline. A request that can
   * finish before its deadline but not before its objective waits behind all others, and for {@link
   * AdmissionSettings#maxLateWait} at most.
   *
   * @param objectiveNanos time until which a response is fully useful to the caller
   */
  public synchronized AdmissionDecision<T> offer(
      T request, Rank requestRank, long deadlineNanos, long objectiveNanos, long nowNanos) {
    Rank rank = settings.mode().queueSelector().queueOf(requestRank);
    advanceUsage(nowNanos);
    long remaining = deadlineNanos - nowNanos;
    if (draining) {
      return AdmissionDecision.refused(ErrorKind.LEAVING, "upstream is leaving");
    }
    if (remaining <= 0) {
      return AdmissionDecision.refused(ErrorKind.EXPIRED, "deadline passed before admission");
    }
    Ticket<T> ticket =
        new Ticket<>(request, rank, deadlineNanos, objectiveNanos, nowNanos, sequence++);
    TreeSet<Ticket<T>> queue = queues.get(rank);
    if (queue.size() >= settings.maxQueuedPerRank()) {
      return AdmissionDecision.refused(ErrorKind.OVERLOADED, "queue of rank " + rank + " is full");
    }
    // An idle upstream accepts a request whatever the estimate says: the estimate may be out of
    // date, and only a request that runs corrects it.
    boolean idle = inFlight == 0 && queued == 0;
    double wait = estimateWaitNanos(ticket, nowNanos);
    if (!idle && wait + serviceTimes.upperBound(rank) > remaining) {
      return AdmissionDecision.refused(ErrorKind.OVERLOADED, "estimated wait exceeds the deadline");
    }
    if (!idle && ticket.hasObjective() && wait > allowedWaitNanos(ticket)) {
      return offerToLateQueue(ticket, nowNanos);
    }
    queue.add(ticket);
    queued++;
    return AdmissionDecision.queued(ticket);
  }

  /**
   * Longest wait, in nanoseconds, after which a request still counts as one that meets its
   * objective. A quarter of the objective is always allowed: where the work itself takes longer
   * than the objective, a request would otherwise lose its rank however short its wait is.
   */
  private double allowedWaitNanos(Ticket<T> ticket) {
    double objectiveWindow = (double) (ticket.objectiveNanos() - ticket.offeredNanos());
    return Math.max(
        objectiveWindow - serviceTimes.typical(ticket.rank()),
        objectiveWindow * MIN_ALLOWED_WAIT_SHARE);
  }

  private AdmissionDecision<T> offerToLateQueue(Ticket<T> ticket, long nowNanos) {
    int limit = limitController.currentLimit(nowNanos);
    int ahead = queued - lateQueue.size() + lateQueue.countBefore(ticket);
    boolean slotFree = inFlight + ahead < limit;
    double wait = slotFree ? 0 : (ahead + 1) * serviceTimes.overallMean() / limit;
    double needed = wait + serviceTimes.mean(ticket.rank());
    if (wait > settings.maxLateWait().toNanos() || needed > ticket.deadlineNanos() - nowNanos) {
      return AdmissionDecision.refused(
          ErrorKind.OVERLOADED, "estimated wait exceeds the objective");
    }
    lateQueue.add(ticket, nowNanos);
    queued++;
    return AdmissionDecision.queued(ticket);
  }

  /**
   * Estimates the nanoseconds until a slot is free for a ticket, from the requests ahead of it and
   * the share of the slots that its rank receives.
   */
  private double estimateWaitNanos(Ticket<T> ticket, long nowNanos) {
    int limit = limitController.currentLimit(nowNanos);
    Rank rank = ticket.rank();
    int higherWaiting = 0;
    double remainingShare = 1;
    for (Map.Entry<Rank, TreeSet<Ticket<T>>> other : queues.entrySet()) {
      double recent = slotUsage.recentShare(other.getKey());
      int order = other.getKey().compareTo(rank);
      if (order < 0) {
        higherWaiting += other.getValue().size();
        remainingShare -= recent;
      } else if (order > 0) {
        // A lower rank keeps its reserved share to the extent that it uses it.
        remainingShare -= Math.min(recent, limits.reservedShare(other.getKey()));
      }
    }
    int ahead = queues.get(rank).headSet(ticket).size();
    if (inFlight + higherWaiting + ahead < limit) {
      return 0;
    }
    double reserved = limits.reservedShare(rank);
    double share = Math.max(Math.max(reserved, remainingShare), MIN_ESTIMATED_SHARE);
    double ownWait = (ahead + 1) * serviceTimes.overallMean() / (limit * share);
    double higherRankWait = higherWaiting * serviceTimes.overallMean() / limit;
    // A rank receives its reserved share whatever the load of the higher ranks, so their queues do
    // not add to its wait.
    return reserved >= remainingShare ? ownWait : ownWait + higherRankWait;
  }

  /**
   * Starts the next request, which then holds a slot; returns empty when no request may start.
   *
   * @param expired called for each request that is removed from its queue because it cannot finish
   *     in time
   */
  public synchronized Optional<Ticket<T>> poll(long nowNanos, Consumer<Ticket<T>> expired) {
    advanceUsage(nowNanos);
    removeExpired(nowNanos, expired);
    int limit = limitController.currentLimit(nowNanos);
    if (inFlight >= limit || queued == 0) {
      return Optional.empty();
    }
    Rank rank = selectRank(limit);
    Ticket<T> ticket = rank == null ? lateQueue.peek() : queues.get(rank).first();
    if (settings.reservesHeadroom() && !leavesHeadroom(ticket.rank(), limit)) {
      return Optional.empty();
    }
    if (!lateQueue.remove(ticket)) {
      queues.get(ticket.rank()).remove(ticket);
    }
    queued--;
    inFlight++;
    slotUsage.acquire(ticket.rank());
    if (!ticket.hasObjective()) {
      callSlotUsage.acquire(ticket.rank());
    }
    ticket.markRunning(nowNanos);
    return Optional.of(ticket);
  }

  /**
   * Whether starting a request of a rank leaves enough slots for calls of higher ranks. The slots
   * that stay free, plus those that such calls hold, must cover the average number of slots that
   * these calls used recently plus one standard deviation of a Poisson load. Only calls made by
   * requests that run elsewhere count, because each of them keeps a slot occupied there.
   */
  private boolean leavesHeadroom(Rank rank, int limit) {
    double used = 0;
    int held = 0;
    for (Rank higher : Rank.values()) {
      if (higher.compareTo(rank) >= 0) {
        break;
      }
      used += callSlotUsage.recentShare(higher) * limit;
      held += callSlotUsage.inFlight(higher);
    }
    // While only such calls run, one request of this rank may start, because other requests must
    // make progress however many slots the calls use.
    boolean runsAlone = inFlight == held;
    int freeSlots = limit - inFlight - 1;
    return runsAlone || freeSlots + held >= Math.min(limit - 1, used + Math.sqrt(used));
  }

  /**
   * Selects the rank whose queue is served next; null when only requests in the late queue wait.
   */
  private Rank selectRank(int limit) {
    Rank highest = null;
    for (Map.Entry<Rank, TreeSet<Ticket<T>>> entry : queues.entrySet()) {
      if (entry.getValue().isEmpty()) {
        continue;
      }
      Rank rank = entry.getKey();
      if (isBelowReservedShare(rank, limit)) {
        return rank;
      }
      if (highest == null) {
        highest = rank;
      }
    }
    return highest;
  }

  /**
   * Whether a rank is entitled to the next slot because it used less than its reserved share. The
   * number in flight is bounded as well, so that a rank that was idle does not take many slots at
   * once to catch up.
   */
  private boolean isBelowReservedShare(Rank rank, int limit) {
    double share = limits.reservedShare(rank);
    return slotUsage.recentShare(rank) < share
        && slotUsage.inFlight(rank) < Math.ceil(share * limit);
  }

  /** Removes the requests that cannot finish before their deadlines, and reports them. */
  private void removeExpired(long nowNanos, Consumer<Ticket<T>> expired) {
    for (Ticket<T> missed : lateQueue.removeExpired(nowNanos, serviceTimes)) {
      queued--;
      missed.markEnded();
      expired.accept(missed);
    }
    for (Map.Entry<Rank, TreeSet<Ticket<T>>> entry : queues.entrySet()) {
      TreeSet<Ticket<T>> queue = entry.getValue();
      // On an idle upstream, only requests past their deadlines are removed, because the estimate
      // may be out of date.
      long needed = inFlight == 0 ? 0 : (long) serviceTimes.upperBound(entry.getKey());
      moveMissedToLateQueue(entry.getKey(), nowNanos);
      while (!queue.isEmpty() && queue.first().deadlineNanos() - nowNanos <= needed) {
        Ticket<T> missed = queue.pollFirst();
        queued--;
        missed.markEnded();
        expired.accept(missed);
      }
    }
  }

  /**
   * Moves the requests that can no longer meet their objective to the late queue, behind all
   * others.
   */
  private void moveMissedToLateQueue(Rank rank, long nowNanos) {
    TreeSet<Ticket<T>> queue = queues.get(rank);
    while (!queue.isEmpty() && missesObjective(queue.first(), nowNanos)) {
      lateQueue.add(queue.pollFirst(), nowNanos);
    }
  }

  private boolean missesObjective(Ticket<T> ticket, long nowNanos) {
    return ticket.hasObjective() && nowNanos - ticket.offeredNanos() > allowedWaitNanos(ticket);
  }

  /** Removes a waiting request from its queue; returns false when it is running or has ended. */
  public synchronized boolean cancel(Ticket<T> ticket) {
    if (ticket.state() != Ticket.State.QUEUED) {
      return false;
    }
    if (!lateQueue.remove(ticket)) {
      queues.get(ticket.rank()).remove(ticket);
    }
    queued--;
    ticket.markEnded();
    return true;
  }

  /** Removes all waiting requests and reports each of them. */
  public synchronized void clear(Consumer<Ticket<T>> removed) {
    for (TreeSet<Ticket<T>> queue : queues.values()) {
      while (!queue.isEmpty()) {
        Ticket<T> ticket = queue.pollFirst();
        queued--;
        ticket.markEnded();
        removed.accept(ticket);
      }
    }
    while (lateQueue.size() > 0) {
      Ticket<T> ticket = lateQueue.poll();
      queued--;
      ticket.markEnded();
      removed.accept(ticket);
    }
  }

  /**
   * Frees the slot of a request; further calls for the same ticket have no effect.
   *
   * @param headNanos nanoseconds from the start of the request to the response head
   */
  public synchronized void finish(
      Ticket<T> ticket, Completion completion, long headNanos, long nowNanos) {
    if (ticket.state() != Ticket.State.RUNNING) {
      return;
    }
    advanceUsage(nowNanos);
    ticket.markEnded();
    inFlight--;
    slotUsage.release(ticket.rank());
    if (!ticket.hasObjective()) {
      callSlotUsage.release(ticket.rank());
    }
    if (completion == Completion.ANSWERED) {
      serviceTimes.add(ticket.rank(), (double) (nowNanos - ticket.startedNanos()));
      limitController.recordResponse(ticket.rank(), headNanos, nowNanos);
    } else if (completion == Completion.SHED) {
      limitController.recordShedding(headNanos, nowNanos);
    }
  }

  /**
   * Refuses all new requests with {@link ErrorKind#LEAVING}; queued and running requests continue.
   */
  public synchronized void beginDrain() {
    draining = true;
  }

  /** Ends the drain and accepts new requests again. */
  public synchronized void endDrain() {
    draining = false;
  }

  /** Whether no request is waiting or running. */
  public synchronized boolean isEmpty() {
    return queued == 0 && inFlight == 0;
  }

  /** Whether at least one request is waiting. */
  public synchronized boolean hasQueued() {
    return queued > 0;
  }

  /** Current load, as reported to the nodes of the callers. */
  public synchronized Load load(long nowNanos) {
    return new Load(inFlight, queued, limitController.currentLimit(nowNanos));
  }

  /** Number of waiting requests of a rank. */
  public synchronized int queued(Rank rank) {
    return queues.get(rank).size() + lateQueue.size(rank);
  }

  /** Number of running requests of a rank. */
  public synchronized int inFlight(Rank rank) {
    return slotUsage.inFlight(rank);
  }

  /**
   * Load of an upstream.
   *
   * @param limit number of requests that may be in flight at present
   */
  public record Load(int inFlight, int queued, int limit) {}
}
