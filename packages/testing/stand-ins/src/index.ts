/**
 * Stand-ins for the platform and backend servers, and a fault-injecting TCP proxy.
 */
export {};
