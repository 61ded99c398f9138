package dev.caroblb.forwarding;

/** Header lines of an answer in the form of the adapter that received them. */
public interface AnswerFields {}
