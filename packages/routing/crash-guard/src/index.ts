/**
 * Recognises requests that crash backend servers.
 */
export {};
