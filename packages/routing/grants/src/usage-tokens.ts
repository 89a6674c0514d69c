/**
 * The tokens that a daemon holds for one organisation, and its demand.
 */
import { TOKEN_MILLISECONDS } from './usage-limit.js';

interface Lot {
  count: number;
  readonly expiresAt: number;
}

/** Time constant of the estimated demand. */
const DEMAND_MILLISECONDS = 1000;
/** Time for whose expected demand tokens are borrowed ahead. */
const AHEAD_MILLISECONDS = 100;

/** Tokens by expiry. A daemon counts their time from its own request, so that no clocks are compared. */
export class UsageTokens {
  /** Time until which the keeper has nothing to lend. */
  blockedUntil = -Infinity;

  private lots: Lot[] = [];

  private demand = 0;

  private demandAt = -Infinity;

  countRequest(now: number): void {
    this.demand = this.readDemand(now) + 1;
    this.demandAt = now;
  }

  tryTake(now: number): (() => void) | undefined {
    this.lots = this.lots.filter(({ count, expiresAt }) => count > 0 && expiresAt > now);
    const [lot] = this.lots;
    if (lot === undefined) {
      return undefined;
    }
    lot.count -= 1;
    return () => {
      lot.count += 1;
    };
  }

  add(count: number, borrowedAt: number): void {
    this.lots.push({ count, expiresAt: borrowedAt + TOKEN_MILLISECONDS });
  }

  /** Number of tokens to borrow for a number of requests that wait. */
  computeWanted(waiting: number, now: number): number {
    const perMillisecond = this.readDemand(now) / DEMAND_MILLISECONDS;
    return Math.max(waiting, Math.floor(perMillisecond * AHEAD_MILLISECONDS));
  }

  isIdle(now: number): boolean {
    return now - this.demandAt > 10 * DEMAND_MILLISECONDS && this.blockedUntil < now;
  }

  private readDemand(now: number): number {
    return this.demand * Math.exp((this.demandAt - now) / DEMAND_MILLISECONDS);
  }
}
