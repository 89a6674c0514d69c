/**
 * Client of the platform key-value service (etcd v3 JSON gateway subset).
 */
export {};
