/**
 * The targets of a load and the choice between them, for loads that go around the fleet.
 */
import * as undici from 'undici';

/** A target and the requests of this load that it has not answered. */
export interface Target {
  readonly address: string;
  readonly outstanding: number;
}

/** Chooses the index of a target; `draw` gives seeded numbers from 0 up to 1. */
export type TargetChooser = (targets: readonly Target[], draw: () => number) => number;

/** Chooses the targets in turn. */
export function createRoundRobin(): TargetChooser {
  let next = -1;
  return (targets) => {
    next = (next + 1) % targets.length;
    return next;
  };
}

/** Chooses each target with the same probability. */
export function chooseRandomly(targets: readonly Target[], draw: () => number): number {
  return Math.floor(draw() * targets.length);
}

/** Chooses the target with the fewest requests that this load has not seen answered. */
export function chooseLeastOutstanding(targets: readonly Target[], draw: () => number): number {
  const fewest = Math.min(...targets.map((target) => target.outstanding));
  const candidates = targets.flatMap((target, index) =>
    target.outstanding === fewest ? [index] : [],
  );
  return candidates[Math.floor(draw() * candidates.length)] ?? 0;
}

/** One target with its connections. */
export class TargetConnections implements Target {
  readonly address: string;

  readonly pool: undici.Pool;

  outstanding = 0;

  constructor(address: string, connections: number) {
    this.address = address;
    // The load measures the fleet's deadlines; the client's own timeouts would hide them.
    const options = { connections, pipelining: 1, headersTimeout: 0, bodyTimeout: 0 };
    this.pool = new undici.Pool(`http://${address}`, options);
  }
}
