package dev.caroblb.forwarding;

/** Header fields of a response, in the representation of the adapter that received them. */
public interface ResponseFields {}
