package io.foxtaildoor.request.balance;

import io.foxtaildoor.process.membership.NodeRecord;

/**
 * Selection of an instance for one request; must be ended once with {@link
 * UpstreamSelector#finish}.
 */
public final class Selection {
  private final ServiceBalancer owner;
  private final InstanceState instance;
  private final boolean probe;
  private final Urgency urgency;
  private boolean finished;

  Selection(ServiceBalancer owner, InstanceState instance, boolean probe, Urgency urgency) {
    this.urgency = urgency;
    this.owner = owner;
    this.instance = instance;
    this.probe = probe;
  }

  /** Node to which the request is sent. */
  public NodeRecord node() {
    return instance.node();
  }

  /** Whether this request is a probe that decides whether the ejection of the instance ends. */
  public boolean isProbe() {
    return probe;
  }

  Urgency urgency() {
    return urgency;
  }

  ServiceBalancer owner() {
    return owner;
  }

  InstanceState instance() {
    return instance;
  }

  /** Marks the selection as finished; returns true on the first call only. */
  boolean markFinished() {
    boolean first = !finished;
    finished = true;
    return first;
  }
}
