/**
 * Fleets for measurements of the control plane: seven zones in three regions with one small service.
 */
import { fileURLToPath } from 'node:url';
import { LocalFleet } from '../fleet/local-fleet.js';
import type { ProxiedLink, Topology } from '../fleet/topology.js';

const ZONE_REGIONS: Readonly<Record<string, string>> = {
  'recife-a': 'nordeste',
  'fortaleza-b': 'nordeste',
  'salvador-c': 'nordeste',
  'randstad-a': 'randstad',
  'randstad-b': 'randstad',
  'randstad-c': 'randstad',
  'lisboa-a': 'tejo',
};

/** The zones of a fleet of the target size. */
export const targetZones = Object.entries(ZONE_REGIONS).map(([name, region]) => ({ name, region }));

/** Node.js arguments that start a daemon which receives changes only by its own store watch. */
export const storeWatchDaemonCommand: readonly string[] = [
  fileURLToPath(new URL('./store-watch-daemon.js', import.meta.url)),
];

/** Options of `startControlFleet`. */
export interface ControlFleetOptions {
  readonly seed: number;
  readonly daemonsPerZone: number;
  readonly zoneCount?: number;
  readonly proxied?: readonly ProxiedLink[];
  readonly daemonCommand?: readonly string[];
}

function createTopology(options: ControlFleetOptions): Topology {
  return {
    zones: targetZones.slice(0, options.zoneCount),
    daemonsPerZone: options.daemonsPerZone,
    proxied: options.proxied ?? [],
    services: [
      {
        name: 'avaliacao',
        organisation: 'sertao',
        slots: 4,
        connectionLimit: 1000,
        serverCount: 7,
        workMilliseconds: 5,
        routes: [
          {
            name: 'prices',
            host: 'avaliacao.test',
            pathPrefix: '/prices',
            methods: ['GET'],
            idempotent: true,
          },
        ],
      },
    ],
  };
}

/** Starts a fleet and waits until every daemon is ready. */
export async function startControlFleet(options: ControlFleetOptions): Promise<LocalFleet> {
  const { seed, daemonCommand } = options;
  return LocalFleet.start({
    topology: createTopology(options),
    seed,
    ...(daemonCommand === undefined ? {} : { daemonCommand }),
  });
}

/** Kills the daemons of a fleet and stops it, since graceful shutdowns would outlast a measurement. */
export async function stopControlFleet(fleet: LocalFleet): Promise<void> {
  await Promise.all(fleet.daemons.map((daemon) => daemon.kill()));
  await fleet.stop();
}
