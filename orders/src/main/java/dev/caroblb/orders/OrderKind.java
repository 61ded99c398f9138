package dev.caroblb.orders;

/** Action that an order requests from an engine. */
public enum OrderKind {
  LOAD,
  UNLOAD,
  ROLE
}
