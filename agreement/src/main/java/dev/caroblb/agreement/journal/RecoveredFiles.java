package dev.caroblb.agreement.journal;

import dev.caroblb.agreement.RecoveredGroup;

/**
 * State recovered from the folder of a group, and the position at which writing continues.
 *
 * @param group recovered state of the group
 * @param segments segments and the range of entries in each
 * @param activeBytes size of the last segment in bytes
 */
record RecoveredFiles(RecoveredGroup group, SegmentList segments, long activeBytes) {}
