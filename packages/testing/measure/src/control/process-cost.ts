/**
 * The cost of the control plane for the daemons of a fleet over a time window.
 */
import type { DaemonProcess } from '../fleet/daemon-process.js';
import type { LocalFleet } from '../fleet/local-fleet.js';
import { callAdministration } from './change-writer.js';

const BYTES_PER_MEGABYTE = 1_000_000;
const MICROSECONDS_PER_MILLISECOND = 1000;
const PERCENT = 100;

interface DaemonSnapshot {
  readonly process: {
    readonly residentBytes: number;
    readonly heapUsedBytes: number;
    readonly cpuMicroseconds: number;
  };
  readonly peerPort: {
    readonly calls: number;
    readonly receivedBytes: number;
    readonly sentBytes: number;
    readonly connections: number;
  };
  readonly peerCalls: Readonly<Record<string, number>>;
}

/** The counters of all daemons and of the store at one time. */
export interface FleetSnapshot {
  readonly at: number;
  readonly daemons: readonly DaemonSnapshot[];
  readonly storeCalls: Readonly<Record<string, number>>;
}

/** Means per daemon, and the calls of the whole fleet to the store. */
export interface FleetCost {
  readonly daemons: number;
  /** Mean CPU time as a percentage of one core. */
  readonly corePercent: number;
  readonly highestCorePercent: number;
  readonly residentMegabytes: number;
  readonly heapMegabytes: number;
  /** Bytes sent and received as server and as client of peer ports, without TCP and IP headers. */
  readonly bytesPerSecond: number;
  readonly callsPerSecond: number;
  readonly handshakesPerSecond: number;
  readonly storeCallsPerSecond: Readonly<Record<string, number>>;
}

async function readDaemonSnapshot(daemon: DaemonProcess): Promise<DaemonSnapshot> {
  return (await callAdministration(daemon, 'GET', '/v1/daemon')).body as DaemonSnapshot;
}

/** Reads the current counters of a fleet. */
export async function readFleetSnapshot(fleet: LocalFleet): Promise<FleetSnapshot> {
  const daemons = await Promise.all(fleet.daemons.map(readDaemonSnapshot));
  const storeCalls = await fleet.store.control.get<Record<string, number>>('/calls');
  return { at: performance.now(), daemons, storeCalls };
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Returns the cost between two snapshots. */
export function computeFleetCost(before: FleetSnapshot, after: FleetSnapshot): FleetCost {
  const milliseconds = after.at - before.at;
  const seconds = milliseconds / 1000;
  const rates = (select: (snapshot: DaemonSnapshot) => number): number[] =>
    after.daemons.map((snapshot, index) => {
      const earlier = before.daemons[index];
      return earlier === undefined ? 0 : (select(snapshot) - select(earlier)) / seconds;
    });
  const shares = rates(({ process: { cpuMicroseconds } }) => cpuMicroseconds).map(
    (rate) => (rate / MICROSECONDS_PER_MILLISECOND / 1000) * PERCENT,
  );
  const storeCallsPerSecond: Record<string, number> = {};
  for (const [kind, count] of Object.entries(after.storeCalls)) {
    storeCallsPerSecond[kind] = (count - (before.storeCalls[kind] ?? 0)) / seconds;
  }
  // Peer ports count the server side only; the client at the other end handles each byte as well.
  const portBytes = mean(rates(({ peerPort }) => peerPort.receivedBytes + peerPort.sentBytes));
  const lastProcesses = after.daemons.map((snapshot) => snapshot.process);
  return {
    daemons: after.daemons.length,
    corePercent: mean(shares),
    highestCorePercent: Math.max(...shares),
    residentMegabytes:
      mean(lastProcesses.map(({ residentBytes }) => residentBytes)) / BYTES_PER_MEGABYTE,
    heapMegabytes:
      mean(lastProcesses.map(({ heapUsedBytes }) => heapUsedBytes)) / BYTES_PER_MEGABYTE,
    bytesPerSecond: 2 * portBytes,
    callsPerSecond: mean(rates(({ peerPort }) => peerPort.calls)),
    handshakesPerSecond: mean(rates(({ peerPort }) => peerPort.connections)),
    storeCallsPerSecond,
  };
}

/** Returns the rate of store calls of all kinds together. */
export function sumStoreCalls(cost: FleetCost): number {
  return Object.values(cost.storeCallsPerSecond).reduce((sum, rate) => sum + rate, 0);
}
