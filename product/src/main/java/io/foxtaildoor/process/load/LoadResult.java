package io.foxtaildoor.process.load;

import java.util.List;

/**
 * Result of one load run.
 *
 * @param measuredSeconds length of the measured period in seconds
 */
public record LoadResult(double measuredSeconds, List<StreamResult> streams) {}
