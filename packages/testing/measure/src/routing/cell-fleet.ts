/**
 * The fleets of the routing measurements: one service in three zones with 12 daemons, either of the
 * product or of the baseline, whose daemons route without coordination.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import * as hashing from '@dogwoodstall/hashing';
import * as model from '@dogwoodstall/model';
import * as results from '@dogwoodstall/results';
import {
  type EndpointCounts,
  type SelectionPolicy,
  selectionPolicies,
} from '../baseline/endpoint-selector.js';
import { ControlClient } from '../fleet/control-client.js';
import type { DaemonProcess } from '../fleet/daemon-process.js';
import { LocalFleet } from '../fleet/local-fleet.js';
import type { ContractDescription, RouteDescription, Topology } from '../fleet/topology.js';
import { readDaemonStatus } from './daemon-status.js';
import { addOrganisationsToBaseline, addOrganisationsToProduct } from './organisations.js';

const REGION = 'nordeste';
const ZONES = ['recife-a', 'fortaleza-b', 'salvador-c'];
const DAEMONS_PER_ZONE = 4;
const CONNECTION_LIMIT = 330;
const SETTLE_TIMEOUT_MILLISECONDS = 20_000;
const SETTLE_POLL_MILLISECONDS = 100;

const baselineProgram = fileURLToPath(new URL('../baseline/program.js', import.meta.url));

/** Name of the measured service. */
export const SERVICE = 'avaliacao';

/** Host of the routes of the service. */
export const HOST = 'avaliacao.test';

/** Organisation that owns the service. */
export const OWNER = 'sertao';

/** The routing policies that are compared, in the order of the phases: the product and the baselines. */
export const subjects = ['product', ...selectionPolicies] as const;

export type Subject = (typeof subjects)[number];

/** Options of `createCellTopology`. */
export interface CellOptions {
  readonly endpoints: number;
  readonly slots: number;
  readonly contract?: ContractDescription;
  readonly routes: readonly Omit<RouteDescription, 'host'>[];
  readonly variation?: number;
  readonly coldStartFactor?: number;
  readonly coldStartMilliseconds?: number;
  readonly proxied?: Topology['proxied'];
}

/** Returns the topology of a routing measurement. */
export function createCellTopology(options: CellOptions): Topology {
  const { endpoints, slots, contract, routes, proxied } = options;
  const { variation, coldStartFactor, coldStartMilliseconds } = options;
  return {
    zones: ZONES.map((name) => ({ name, region: REGION })),
    daemonsPerZone: DAEMONS_PER_ZONE,
    services: [
      {
        name: SERVICE,
        organisation: OWNER,
        contract: contract ?? {},
        routes: routes.map((route) => ({ ...route, host: HOST })),
        serverCount: endpoints,
        slots,
        connectionLimit: CONNECTION_LIMIT,
        variation: variation ?? 0,
        coldStartFactor: coldStartFactor ?? 1,
        coldStartMilliseconds: coldStartMilliseconds ?? 0,
      },
    ],
    ...(proxied === undefined ? {} : { proxied }),
  };
}

/** Returns the daemon that dispatches the service's cell. */
export function findDispatcher(fleet: LocalFleet): DaemonProcess {
  const cell = model.formatCellName(SERVICE, REGION, 0);
  const ranked = hashing.rankMembers(cell, fleet.daemons, (daemon) => daemon.name);
  return ranked[0] as DaemonProcess;
}

/** Sums the invariant violations of all daemons. */
export async function countViolations(fleet: LocalFleet): Promise<number> {
  let sum = 0;
  for (const daemon of fleet.daemons) {
    const { violations } = await readDaemonStatus(daemon);
    sum += Object.values(violations).reduce((total, count) => total + count, 0);
  }
  return sum;
}

/** Reads the ejections of every baseline daemon. */
export async function readEjections(fleet: LocalFleet): Promise<EndpointCounts[][]> {
  return Promise.all(
    fleet.daemons.map((daemon) =>
      new ControlClient(daemon.administrationAddress).get<EndpointCounts[]>('/ejections'),
    ),
  );
}

async function setPolicy(fleet: LocalFleet, policy: SelectionPolicy): Promise<void> {
  for (const daemon of fleet.daemons) {
    await new ControlClient(daemon.administrationAddress).post('/policy', { policy });
  }
}

// Kills the daemons, because a graceful shutdown waits until its announcement has reached the peers.
async function stopFleet(fleet: LocalFleet): Promise<void> {
  await Promise.all(fleet.daemons.map((daemon) => daemon.kill()));
  await fleet.stop();
}

// Until every daemon knows all members, several daemons dispatch the same cell, which would distort a
// measurement.
async function waitUntilSettled(fleet: LocalFleet): Promise<void> {
  const giveUpAt = performance.now() + SETTLE_TIMEOUT_MILLISECONDS;
  for (const daemon of fleet.daemons) {
    for (;;) {
      const { members } = await readDaemonStatus(daemon);
      const ready = members.filter(
        ({ state, condition }) => state === 'alive' && condition === 'ready',
      );
      if (ready.length === fleet.daemons.length) {
        break;
      }
      if (performance.now() > giveUpAt) {
        throw new results.FailureError(
          'ProcessStartFailed',
          `${daemon.name} does not know all members`,
        );
      }
      await sleep(SETTLE_POLL_MILLISECONDS);
    }
  }
}

async function withFleet(
  topology: Topology,
  seed: number,
  daemonCommand: readonly string[] | undefined,
  use: (fleet: LocalFleet) => Promise<void>,
): Promise<void> {
  const options = daemonCommand === undefined ? {} : { daemonCommand };
  const fleet = await LocalFleet.start({ topology, seed, ...options });
  try {
    if (daemonCommand === undefined) {
      await waitUntilSettled(fleet);
    }
    await use(fleet);
  } finally {
    await stopFleet(fleet);
  }
}

/** Options of `compareSubjects`. */
export interface Comparison {
  readonly topology: Topology;
  readonly seed: number;
  /** Organisations in addition to the owner of the service. */
  readonly organisations?: readonly string[];
}

/** Runs a phase with the product, then one with each policy of the baseline, with the same seed. */
export async function compareSubjects(
  { topology, seed, organisations = [] }: Comparison,
  run: (fleet: LocalFleet, subject: Subject) => Promise<void>,
): Promise<void> {
  await withFleet(topology, seed, undefined, async (fleet) => {
    if (organisations.length > 0) {
      await addOrganisationsToProduct(fleet, organisations);
    }
    await run(fleet, 'product');
  });
  await withFleet(topology, seed, [baselineProgram], async (fleet) => {
    if (organisations.length > 0) {
      await addOrganisationsToBaseline(fleet, organisations);
    }
    for (const policy of selectionPolicies) {
      await setPolicy(fleet, policy);
      await run(fleet, policy);
    }
  });
}

/** Returns the caller addresses of all daemons. */
export function listCallerAddresses(fleet: LocalFleet): string[] {
  return fleet.daemons.map((daemon) => daemon.callerAddress);
}
