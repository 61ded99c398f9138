package dev.caroblb.orders;

/** What an order asks of an engine. */
public enum OrderKind {
  LOAD,
  UNLOAD,
  ROLE
}
