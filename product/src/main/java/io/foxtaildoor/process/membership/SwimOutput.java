package io.foxtaildoor.process.membership;

import io.foxtaildoor.protocol.Datagram;
import io.foxtaildoor.protocol.Frame;
import io.foxtaildoor.version.manifest.VersionStamp;
import java.net.InetSocketAddress;
import java.util.List;

/** What the core asks its transport to do. */
sealed interface SwimOutput {
  /** Sends a datagram. */
  record SendDatagram(InetSocketAddress to, Datagram datagram) implements SwimOutput {}

  /** Calls a node with a control frame; the reply is given back with the call id. */
  record CallNode(long callId, InetSocketAddress to, Frame request) implements SwimOutput {}

  /** The record of a node changed. */
  record RecordChanged(NodeRecord record) implements SwimOutput {}

  /** A datagram carried a configuration version. */
  record VersionReceived(InetSocketAddress from, VersionStamp stamp) implements SwimOutput {}

  /** The first state exchange finished. */
  record Joined() implements SwimOutput {}

  /** The leaving record was pushed twice. */
  record LeavingPushed() implements SwimOutput {}

  /** A status query ended. */
  record StatusQueryFinished(long query, List<StatusAnswer> answers) implements SwimOutput {}
}
