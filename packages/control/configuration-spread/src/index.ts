/**
 * Spreads configuration revisions between daemons and starts a daemon from its peers.
 */
export {};
