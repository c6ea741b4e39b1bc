package io.foxtaildoor.process.membership;

import io.foxtaildoor.common.NodeId;
import io.foxtaildoor.protocol.StatusReply;
import io.foxtaildoor.protocol.StatusRequest;
import io.foxtaildoor.version.manifest.VersionStamp;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Queries all live nodes for their status. Requests are spread evenly over the first 40% of the
 * duration of a query. Nodes that have not replied get a second request between 45% and 85% of it.
 */
final class StatusQueries {
  private static final double PASS_DURATION_SHARE = 0.40;
  private static final double SECOND_PASS_START_SHARE = 0.45;

  /** Limits the reason for a rejection so that a reply fits into one datagram of usual size. */
  private static final int MAX_REJECTION_LENGTH = 256;

  /** A running query. */
  private static final class Query {
    private final long id;
    private final long startedAt;
    private final long durationNanos;
    private final List<NodeRecord> targets;
    private final Map<NodeId, NodeStatus> answers = new HashMap<>();
    private int firstPassSent;
    private int secondPassSent;

    Query(long id, long startedAt, long durationNanos, List<NodeRecord> targets) {
      this.id = id;
      this.startedAt = startedAt;
      this.durationNanos = durationNanos;
      this.targets = targets;
    }
  }

  private final LocalNode local;
  private final NodeTable table;
  private final Outbox outbox;
  private final Supplier<NodeStatus> status;
  private final List<Query> runningQueries = new ArrayList<>();
  private long lastId;

  StatusQueries(LocalNode local, NodeTable table, Outbox outbox, Supplier<NodeStatus> status) {
    this.local = local;
    this.table = table;
    this.outbox = outbox;
    this.status = status;
  }

  /** Starts a query and returns its id. */
  long begin(long durationNanos, long nowNanos) {
    List<NodeRecord> targets = table.records();
    targets.removeIf(record -> !NodeRecords.isLive(record));
    Query query = new Query(++lastId, nowNanos, durationNanos, targets);
    query.answers.put(local.record().id(), status.get());
    runningQueries.add(query);
    return query.id;
  }

  /**
   * Sends the requests that are due, and finishes the queries that all nodes have answered or whose
   * duration has passed.
   */
  void tick(long nowNanos) {
    for (Iterator<Query> queries = runningQueries.iterator(); queries.hasNext(); ) {
      Query query = queries.next();
      double share = (nowNanos - query.startedAt) / (double) Math.max(1, query.durationNanos);
      query.firstPassSent =
          sendDueRequests(query, query.firstPassSent, share / PASS_DURATION_SHARE, nowNanos);
      query.secondPassSent =
          sendDueRequests(
              query,
              query.secondPassSent,
              (share - SECOND_PASS_START_SHARE) / PASS_DURATION_SHARE,
              nowNanos);
      if (share >= 1 || query.answers.size() >= query.targets.size()) {
        queries.remove();
        outbox.add(new SwimOutput.StatusQueryFinished(query.id, answers(query)));
      }
    }
  }

  /** Replies to a status request with the status of the local node. */
  void onRequest(InetSocketAddress from, StatusRequest request, long nowNanos) {
    NodeStatus current = status.get();
    String rejection = current.rejection();
    StatusReply reply =
        StatusReply.newBuilder()
            .setSequence(request.getSequence())
            .setNodeId(local.record().id().value())
            .setHeld(current.heldVersion().toMessage())
            .setRejectedVersion(current.rejectedVersion())
            .setRejection(
                rejection.substring(0, Math.min(rejection.length(), MAX_REJECTION_LENGTH)))
            .setBreaches(current.invariantBreaches())
            .build();
    outbox.send(from, outbox.newDatagram().setStatusReply(reply), List.of(), nowNanos);
  }

  /** Records the reply of a node. */
  void onReply(NodeId sender, StatusReply reply) {
    if (!reply.getNodeId().equals(sender.value())) {
      return;
    }
    for (Query query : runningQueries) {
      if (query.id == reply.getSequence()) {
        NodeStatus reported =
            new NodeStatus(
                VersionStamp.of(reply.getHeld()),
                reply.getRejectedVersion(),
                reply.getRejection(),
                reply.getBreaches());
        query.answers.putIfAbsent(sender, reported);
      }
    }
  }

  private int sendDueRequests(Query query, int alreadySent, double share, long nowNanos) {
    int dueCount = (int) (Math.max(0, Math.min(1, share)) * query.targets.size());
    for (int i = alreadySent; i < dueCount; i++) {
      NodeRecord target = query.targets.get(i);
      if (!query.answers.containsKey(target.id())) {
        StatusRequest request = StatusRequest.newBuilder().setSequence(query.id).build();
        outbox.send(
            target.address(), outbox.newDatagram().setStatusRequest(request), List.of(), nowNanos);
      }
    }
    return Math.max(alreadySent, dueCount);
  }

  private static List<StatusAnswer> answers(Query query) {
    List<StatusAnswer> answers = new ArrayList<>(query.targets.size());
    for (NodeRecord target : query.targets) {
      NodeStatus answer = query.answers.get(target.id());
      answers.add(new StatusAnswer(target, Optional.ofNullable(answer)));
    }
    return List.copyOf(answers);
  }
}
