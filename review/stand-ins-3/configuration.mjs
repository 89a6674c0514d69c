/**
 * The operator's configuration as it lies in the store.
 */
const LIMITS = {
  max_header_bytes: 16_384,
  max_body_bytes: 67_108_864,
  header_timeout_ms: 3000,
  idle_timeout_ms: 15_000,
};

/** Returns a configuration; a route names its service or has a `traffic_split`. */
export function createConfiguration({ version, routes, services, limits = LIMITS }) {
  return {
    version,
    base_version: version - 1,
    resources: [
      ...routes.map(({ name, ...spec }) => ({
        resource_kind: 'routes',
        metadata: { name },
        spec: { max_attempts: 2, priority: 1, ...spec },
      })),
      ...services.map((name) => ({
        resource_kind: 'services',
        metadata: { name },
        spec: { health_path: '/health', max_conns: 390, protocol: 'h1', tls: false },
      })),
      { resource_kind: 'limits', metadata: {}, spec: limits },
    ],
  };
}
