/**
 * The log of configuration changes in the store: commit, read, watch, snapshot.
 */
export {};
