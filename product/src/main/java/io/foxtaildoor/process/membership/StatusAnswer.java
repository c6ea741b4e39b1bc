package io.foxtaildoor.process.membership;

import java.util.Optional;

/**
 * Result of a status query for one node.
 *
 * @param node record of the node when the query began
 * @param status status that the node reported; empty if it did not reply in time
 */
public record StatusAnswer(NodeRecord node, Optional<NodeStatus> status) {}
