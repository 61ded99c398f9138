package dev.caroblb.orders;

import dev.caroblb.core.Outlet;

/**
 * Where the messages of the orders duty go.
 *
 * @param orders orders to send, each answered by {@link OrdersMessage.OrderFinished}
 * @param readBacks requests, each answered by {@link OrdersMessage.StateRead} or not at all
 */
public record OrdersOutlets(Outlet<EngineOrder> orders, Outlet<ReadBack> readBacks) {}
