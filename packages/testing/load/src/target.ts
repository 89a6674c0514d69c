/**
 * Targets of a load and strategies to choose between them, for loads that bypass the fleet.
 */
import * as undici from 'undici';

/** A target with the number of requests of this load that await its response. */
export interface Target {
  readonly address: string;
  readonly outstanding: number;
}

/** Returns the index of the chosen target; `draw` returns seeded numbers from 0 to 1 (exclusive). */
export type TargetChooser = (targets: readonly Target[], draw: () => number) => number;

/** Returns a chooser that cycles through the targets. */
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

/** Chooses the target with the fewest outstanding requests of this load; ties are broken randomly. */
export function chooseLeastOutstanding(targets: readonly Target[], draw: () => number): number {
  const fewestOutstanding = Math.min(...targets.map((target) => target.outstanding));
  const candidates = targets.flatMap((target, index) =>
    target.outstanding === fewestOutstanding ? [index] : [],
  );
  return candidates[Math.floor(draw() * candidates.length)] ?? 0;
}

/** A target with its connection pool. */
export class TargetConnections implements Target {
  readonly address: string;

  readonly pool: undici.Pool;

  outstanding = 0;

  constructor(address: string, connections: number) {
    this.address = address;
    // The load measures the deadlines of the fleet, which undici's own timeouts would mask.
    const options = { connections, pipelining: 1, headersTimeout: 0, bodyTimeout: 0 };
    this.pool = new undici.Pool(`http://${address}`, options);
  }
}
