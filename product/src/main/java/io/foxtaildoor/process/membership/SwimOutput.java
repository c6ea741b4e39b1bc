package io.foxtaildoor.process.membership;

import io.foxtaildoor.protocol.Datagram;
import io.foxtaildoor.protocol.Frame;
import io.foxtaildoor.version.manifest.VersionStamp;
import java.net.InetSocketAddress;
import java.util.List;

/** Action or event that {@link SwimCore} passes to its transport. */
sealed interface SwimOutput {
  /** Send a datagram. */
  record SendDatagram(InetSocketAddress to, Datagram datagram) implements SwimOutput {}

  /** Call a node with a control frame; the transport passes the reply back with the call id. */
  record CallNode(long callId, InetSocketAddress to, Frame request) implements SwimOutput {}

  /** The record of a node changed. */
  record RecordChanged(NodeRecord record) implements SwimOutput {}

  /** A datagram or notice carried a configuration version. */
  record VersionReceived(InetSocketAddress from, VersionStamp stamp) implements SwimOutput {}

  /**
   * The node has joined: its first state exchange has finished, or it has no contact but itself.
   */
  record Joined() implements SwimOutput {}

  /** The record with the state LEAVING has been pushed twice. */
  record LeavingPushed() implements SwimOutput {}

  /** A status query has finished. */
  record StatusQueryFinished(long query, List<StatusAnswer> answers) implements SwimOutput {}
}
