package io.foxtaildoor.request.admission;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.Rank;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * Decides which request gets a free slot of one upstream; safe for use by several threads.
 *
 * <p>A free slot goes to a rank that received less than its reserved share of the recent slot time
 * and has work waiting, else to the highest waiting rank; within a rank to the earliest deadline.
 */
public final class AdmissionQueue<T> {
  /** Least share that an estimate assumes, so that it stays finite when other ranks use all. */
  private static final double MIN_ESTIMATED_SHARE = 0.01;

  /** Least part of an objective for which a request may wait in its rank. */
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

  /** Takes a changed configuration. */
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

  /** Queues a request without an objective, or refuses it as the other method does. */
  public AdmissionDecision<T> offer(
      T request, Rank requestRank, long deadlineNanos, long nowNanos) {
    return offer(request, requestRank, deadlineNanos, deadlineNanos, nowNanos);
  }

  /**
   * Queues a request, or refuses it when it cannot finish before its deadline. One that can finish
   * by its deadline but not by its objective is queued behind all others and only for a short wait.
   *
   * @param objectiveNanos time until which an answer has its full worth
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
    // While nothing runs a request is taken whatever the estimate says: it may be out of date, and
    // only a request that runs corrects it.
    boolean idle = inFlight == 0 && queued == 0;
    double wait = estimateWaitNanos(ticket, nowNanos);
    if (!idle && wait + serviceTimes.upperBound(rank) > remaining) {
      return AdmissionDecision.refused(ErrorKind.OVERLOADED, "wait would pass the deadline");
    }
    if (!idle && ticket.hasObjective() && wait > allowedWaitNanos(ticket)) {
      return offerToLateQueue(ticket, nowNanos);
    }
    queue.add(ticket);
    queued++;
    return AdmissionDecision.queued(ticket);
  }

  /**
   * Longest wait after which a request still counts as one that meets its objective. A quarter of
   * the objective is allowed in any case: where the work itself takes longer than the objective, a
   * request would otherwise lose its rank however short its wait is.
   */
  private double allowedWaitNanos(Ticket<T> ticket) {
    double window = (double) (ticket.objectiveNanos() - ticket.offeredNanos());
    return Math.max(window - serviceTimes.typical(ticket.rank()), window * MIN_ALLOWED_WAIT_SHARE);
  }

  private AdmissionDecision<T> offerToLateQueue(Ticket<T> ticket, long nowNanos) {
    int limit = limitController.currentLimit(nowNanos);
    int before = queued - lateQueue.size() + lateQueue.countBefore(ticket);
    boolean free = inFlight + before < limit;
    double wait = free ? 0 : (before + 1) * serviceTimes.overallMean() / limit;
    double needed = wait + serviceTimes.mean(ticket.rank());
    if (wait > settings.maxLateWait().toNanos() || needed > ticket.deadlineNanos() - nowNanos) {
      return AdmissionDecision.refused(ErrorKind.OVERLOADED, "wait would pass the objective");
    }
    lateQueue.add(ticket, nowNanos);
    queued++;
    return AdmissionDecision.queued(ticket);
  }

  /** Time until a slot is free for a ticket, from the work before it and the rate of its rank. */
  private double estimateWaitNanos(Ticket<T> ticket, long nowNanos) {
    int limit = limitController.currentLimit(nowNanos);
    Rank rank = ticket.rank();
    int higherWaiting = 0;
    double left = 1;
    for (Map.Entry<Rank, TreeSet<Ticket<T>>> other : queues.entrySet()) {
      double recent = slotUsage.recentShare(other.getKey());
      int order = other.getKey().compareTo(rank);
      if (order < 0) {
        higherWaiting += other.getValue().size();
        left -= recent;
      } else if (order > 0) {
        // A lower rank keeps its reserved share as far as it uses it.
        left -= Math.min(recent, limits.reservedShare(other.getKey()));
      }
    }
    int before = queues.get(rank).headSet(ticket).size();
    if (inFlight + higherWaiting + before < limit) {
      return 0;
    }
    double reserved = limits.reservedShare(rank);
    double share = Math.max(Math.max(reserved, left), MIN_ESTIMATED_SHARE);
    double own = (before + 1) * serviceTimes.overallMean() / (limit * share);
    double higher = higherWaiting * serviceTimes.overallMean() / limit;
    // A reserved share holds whatever the higher ranks do, so their queues do not add to its wait.
    return reserved >= left ? own : own + higher;
  }

  /**
   * Gives the next request to run, which then holds a slot; empty when none may start.
   *
   * @param expired hears of each request that left its queue because it cannot finish in time
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
   * Whether the slots that stay free after a start, with those that calls of higher ranks hold, are
   * enough for what such calls used on average and one deviation of a Poisson load more. Only the
   * calls of requests that run elsewhere count, because a slot there waits for each of them.
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
    // Other work must go on, whatever the calls use.
    boolean runsAlone = inFlight == held;
    int free = limit - inFlight - 1;
    return runsAlone || free + held >= Math.min(limit - 1, used + Math.sqrt(used));
  }

  /** The rank whose queue is served next; null when only late requests wait. */
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
   * Whether a rank is owed a slot. The number in flight is bounded as well, so that a rank that was
   * idle does not take many slots at once to make up for it.
   */
  private boolean isBelowReservedShare(Rank rank, int limit) {
    double share = limits.reservedShare(rank);
    return slotUsage.recentShare(rank) < share
        && slotUsage.inFlight(rank) < Math.ceil(share * limit);
  }

  /** Removes the requests that cannot finish before their deadlines. */
  private void removeExpired(long nowNanos, Consumer<Ticket<T>> expired) {
    for (Ticket<T> missed : lateQueue.removeExpired(nowNanos, serviceTimes)) {
      queued--;
      missed.markEnded();
      expired.accept(missed);
    }
    for (Map.Entry<Rank, TreeSet<Ticket<T>>> entry : queues.entrySet()) {
      TreeSet<Ticket<T>> queue = entry.getValue();
      // While nothing runs, only those past their deadlines: the estimate may be out of date.
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

  /** Moves the requests that cannot meet their objective any more behind all others. */
  private void moveMissedToLateQueue(Rank rank, long nowNanos) {
    TreeSet<Ticket<T>> queue = queues.get(rank);
    while (!queue.isEmpty() && missesObjective(queue.first(), nowNanos)) {
      lateQueue.add(queue.pollFirst(), nowNanos);
    }
  }

  private boolean missesObjective(Ticket<T> ticket, long nowNanos) {
    return ticket.hasObjective() && nowNanos - ticket.offeredNanos() > allowedWaitNanos(ticket);
  }

  /** Takes a waiting request out of its queue; false when it runs or has ended. */
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

  /** Removes all waiting requests. */
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
   * Frees the slot of a request; later calls for the same ticket do nothing.
   *
   * @param headNanos time from the start to the head of the answer
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

  /** Refuses everything new as LEAVING; what is queued and in flight goes on. */
  public synchronized void beginDrain() {
    draining = true;
  }

  /** Takes the upstream back into use. */
  public synchronized void endDrain() {
    draining = false;
  }

  /** Whether nothing waits and nothing runs. */
  public synchronized boolean isEmpty() {
    return queued == 0 && inFlight == 0;
  }

  /** Whether a request waits. */
  public synchronized boolean hasQueued() {
    return queued > 0;
  }

  /** The numbers that are reported to callers' nodes. */
  public synchronized Load load(long nowNanos) {
    return new Load(inFlight, queued, limitController.currentLimit(nowNanos));
  }

  /** Waiting requests of a rank. */
  public synchronized int queued(Rank rank) {
    return queues.get(rank).size() + lateQueue.size(rank);
  }

  /** Running requests of a rank. */
  public synchronized int inFlight(Rank rank) {
    return slotUsage.inFlight(rank);
  }

  /**
   * Load of an upstream.
   *
   * @param limit requests that may be in flight
   */
  public record Load(int inFlight, int queued, int limit) {}
}
