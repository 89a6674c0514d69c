/**
 * The operator's configuration as it lies in the store, and a stand-in of the platform that ends processes which exceed
 * the memory of their machine.
 */
import * as fs from 'node:fs';

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

function readMegabytes(pid, field) {
  try {
    const status = fs.readFileSync(`/proc/${pid}/status`, 'utf8');
    return Number(new RegExp(`${field}:\\s+(\\d+) kB`).exec(status)?.[1] ?? 0) / 1024;
  } catch {
    return 0;
  }
}

/**
 * Ends each process whose anonymous memory exceeds the limit of its machine, as the platform does. What the program and
 * its libraries take as files, and what the system holds for sockets, is left out in favour of the process.
 */
export class MemoryWatch {
  /** Peaks in megabytes and ends, by machine. */
  peaks = new Map();

  ended = new Map();

  constructor(machines, megabytes) {
    this.timer = setInterval(() => {
      for (const machine of machines) {
        const { name, pid } = machine;
        const used = pid === undefined ? 0 : readMegabytes(pid, 'RssAnon');
        this.peaks.set(name, Math.max(this.peaks.get(name) ?? 0, used));
        if (used > megabytes) {
          this.ended.set(name, [...(this.ended.get(name) ?? []), Math.round(used)]);
          machine.signal('SIGKILL');
        }
      }
    }, 20);
  }

  close() {
    clearInterval(this.timer);
  }
}
