/**
 * Wires the roles of one daemon and its planned stop.
 */
export {};
