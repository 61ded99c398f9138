package dev.caroblb.standins.engine;

/** Load of an engine at one moment. */
public record EngineLoad(
    int running, int waiting, int usedBlocks, int totalBlocks, long preemptions, long atUs) {}
