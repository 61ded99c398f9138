package dev.caroblb.agreement.journal;

import dev.caroblb.agreement.RecoveredGroup;

/**
 * What recovery found in the folder of a group, and where writing continues.
 *
 * @param group contents
 * @param segments segments and the entries they hold
 * @param activeBytes size of the last segment
 */
record RecoveredFiles(RecoveredGroup group, SegmentList segments, long activeBytes) {}
