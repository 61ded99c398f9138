package dev.caroblb.orders;

import dev.caroblb.core.Outlet;

/**
 * Outlets of the orders duty.
 *
 * @param orders orders to send, each answered by {@link OrdersMessage.OrderFinished}
 * @param readBacks state requests, each answered by {@link OrdersMessage.StateRead} or not at all
 */
public record OrdersOutlets(Outlet<EngineOrder> orders, Outlet<ReadBack> readBacks) {}
