/**
 * SWIM membership: probes, suspicion, incarnations, leaving.
 */
export {};
