/**
 * tRPC router and client between daemons over mutual TLS.
 */
export {};
