/**
 * Idempotency keys, records of executions, replay and hand-over.
 */
export {};
