package dev.caroblb.agreement;

import dev.caroblb.core.InstanceId;

/**
 * A replica of a consensus group: the instance and the incarnation of its data folder. After a
 * folder is lost and formatted again, the instance is another member.
 *
 * @param instance the instance that holds the data folder
 * @param incarnation random identity created when the folder was formatted, as 32 hex digits
 */
public record Member(InstanceId instance, String incarnation) {}
