/**
 * HTTP in and out: request checks, streaming, TLS reload, forwarding between daemons.
 */
export {};
