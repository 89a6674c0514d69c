/**
 * Measurements, the local example fleet and reports.
 */
export {};
