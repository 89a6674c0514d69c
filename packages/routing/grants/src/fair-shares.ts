/**
 * Fair shares of a cell between organisations of the same priority. While requests wait, an organisation is entitled to
 * the max-min fair share of the slots that more urgent requests leave, or to what it usually uses if that is more. Its
 * requests beyond that are in excess: they go behind those of the others.
 */
import { DecayingRate } from './decaying-rate.js';
import type { SlotRequest } from './slot-request.js';

/** Time constant of the usual use. */
const USUAL_MILLISECONDS = 20_000;
/** Time from which on the usual use is known. */
const USUAL_KNOWN_MILLISECONDS = 5000;
/** Multiple of the usual use up to which an organisation is not in excess. */
const USUAL_TOLERANCE = 1.25;
/** Time constant of the present demand. */
const PRESENT_MILLISECONDS = 1500;
const UPDATE_MILLISECONDS = 20;
/** Use below which an organisation is forgotten, in slots. */
const FORGOTTEN_SLOTS = 0.001;

/** What one organisation uses at one priority. */
interface Use {
  inFlight: number;
  waiting: number;
  /** Demand in slots, now and usually. */
  readonly asked: DecayingRate;
  readonly usual: DecayingRate;
}

/** What identifies a share. */
export type ShareOwner = Pick<SlotRequest, 'organisation' | 'priority'>;

/** Returns the level at which `capacity` is used up if each demand is served up to that level. */
export function computeFairLevel(demands: readonly number[], capacity: number): number {
  let left = capacity;
  let remaining = demands.length;
  for (const demand of [...demands].sort((one, other) => one - other)) {
    const level = left / remaining;
    if (demand > level) {
      return level;
    }
    left -= demand;
    remaining -= 1;
  }
  return Infinity;
}

/** The shares of one cell. Without organisations nobody is in excess. */
export class FairShares {
  private readonly usesByPriority = new Map<number, Map<string, Use>>();

  private readonly usesByGrant = new Map<number, Use>();

  private readonly levels = new Map<number, number>();

  /** Slots that more urgent requests leave to a priority. */
  private readonly slotsByPriority = new Map<number, number>();

  private updatedAt = -Infinity;

  private startedAt: number | undefined;

  /** Records that a request asks for a slot for `milliseconds`. */
  recordAsk(owner: ShareOwner, milliseconds: number, now: number): void {
    if (owner.organisation === '') {
      return;
    }
    this.startedAt ??= now;
    const use = this.getOrCreate(owner, now);
    // What goes far beyond the usual use hardly raises it.
    const limit = USUAL_TOLERANCE * this.findUsual(use, now);
    const asked = use.asked.at(now);
    use.usual.add(limit > 0 && asked > limit ? (milliseconds * limit) / asked : milliseconds, now);
    use.asked.add(milliseconds, now);
  }

  /** Records that a request was granted a slot. */
  startGrant(grantId: number, owner: ShareOwner, now: number): void {
    if (owner.organisation !== '') {
      const use = this.getOrCreate(owner, now);
      use.inFlight += 1;
      this.usesByGrant.set(grantId, use);
    }
  }

  /** Records that a grant has ended. */
  endGrant(grantId: number): void {
    const use = this.usesByGrant.get(grantId);
    if (use !== undefined) {
      use.inFlight -= 1;
      this.usesByGrant.delete(grantId);
    }
  }

  /**
   * Returns the requests that the organisation may be granted now before it is in excess; Infinity if everybody can be
   * served. As of the last `update`.
   */
  findAllowance(owner: ShareOwner, now: number): number {
    const use = this.usesByPriority.get(owner.priority)?.get(owner.organisation);
    return use === undefined ? Infinity : this.findShare(owner, now) - use.inFlight;
  }

  /** Returns the slots to which the organisation is entitled; Infinity if everybody can be served. */
  findShare({ organisation, priority }: ShareOwner, now: number): number {
    const level = this.levels.get(priority);
    const use = this.usesByPriority.get(priority)?.get(organisation);
    if (level === undefined || use === undefined) {
      return Infinity;
    }
    return Math.max(1, level, USUAL_TOLERANCE * this.findUsual(use, now));
  }

  /** Returns the slots that more urgent requests leave; Infinity if they have not been counted. */
  findSlots(priority: number): number {
    return this.slotsByPriority.get(priority) ?? Infinity;
  }

  /** Divides the slots again, unless that was done a moment ago. */
  update(countSlots: () => number, waiting: Iterable<ShareOwner>, now: number): void {
    if (this.startedAt === undefined || now - this.updatedAt < UPDATE_MILLISECONDS) {
      return;
    }
    this.updatedAt = now;
    this.levels.clear();
    this.slotsByPriority.clear();
    this.countWaiting(waiting);
    let capacity = countSlots();
    const priorities = [...this.usesByPriority].sort(([one], [other]) => one - other);
    for (const [priority, uses] of priorities) {
      const demands: number[] = [];
      let inFlightTotal = 0;
      for (const [organisation, { inFlight, waiting: waitingCount, usual }] of uses) {
        const demand = inFlight + waitingCount;
        if (demand > 0) {
          demands.push(demand);
          inFlightTotal += inFlight;
        } else if (usual.at(now) < FORGOTTEN_SLOTS) {
          uses.delete(organisation);
        }
      }
      this.slotsByPriority.set(priority, Math.max(0, capacity));
      const level = computeFairLevel(demands, Math.max(0, capacity));
      if (level < Infinity) {
        this.levels.set(priority, level);
      }
      capacity -= inFlightTotal;
    }
  }

  private countWaiting(waiting: Iterable<ShareOwner>): void {
    for (const uses of this.usesByPriority.values()) {
      for (const use of uses.values()) {
        use.waiting = 0;
      }
    }
    for (const { organisation, priority } of waiting) {
      const use = this.usesByPriority.get(priority)?.get(organisation);
      if (use !== undefined) {
        use.waiting += 1;
      }
    }
  }

  /** Returns 0 while the usual use is not known. */
  private findUsual({ usual }: Use, now: number): number {
    const age = now - (this.startedAt ?? now);
    if (age < USUAL_KNOWN_MILLISECONDS) {
      return 0;
    }
    // The average over a shorter time than its time constant is too low by this factor.
    return usual.at(now) / (1 - Math.exp(-age / USUAL_MILLISECONDS));
  }

  private getOrCreate({ organisation, priority }: ShareOwner, now: number): Use {
    let uses = this.usesByPriority.get(priority);
    if (uses === undefined) {
      uses = new Map();
      this.usesByPriority.set(priority, uses);
    }
    let use = uses.get(organisation);
    if (use === undefined) {
      use = {
        inFlight: 0,
        waiting: 0,
        asked: new DecayingRate(PRESENT_MILLISECONDS, now),
        usual: new DecayingRate(USUAL_MILLISECONDS, now),
      };
      uses.set(organisation, use);
    }
    return use;
  }
}
