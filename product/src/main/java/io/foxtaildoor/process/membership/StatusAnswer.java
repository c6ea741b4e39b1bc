package io.foxtaildoor.process.membership;

import java.util.Optional;

/**
 * Result of a status query for one node.
 *
 * @param node the record of the node when the query began
 * @param status what it answered; empty when it did not answer in time
 */
public record StatusAnswer(NodeRecord node, Optional<NodeStatus> status) {}
