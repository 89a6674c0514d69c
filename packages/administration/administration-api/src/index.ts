/**
 * The HTTP API for operators, with authority per organisation.
 */
export {};
