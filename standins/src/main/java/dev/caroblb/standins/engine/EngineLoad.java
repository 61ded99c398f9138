package dev.caroblb.standins.engine;

/** Load of an engine at time {@code atUs}; {@code preemptions} counts since its start. */
public record EngineLoad(
    int running, int waiting, int usedBlocks, int totalBlocks, long preemptions, long atUs) {}
