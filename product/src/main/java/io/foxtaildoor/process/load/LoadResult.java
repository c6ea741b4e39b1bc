package io.foxtaildoor.process.load;

import java.util.List;

/**
 * Result of one run.
 *
 * @param measuredSeconds length of the measured time
 */
public record LoadResult(double measuredSeconds, List<StreamResult> streams) {}
