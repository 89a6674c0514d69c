/**
 * The cells whose dispatchers a daemon monitors. Which ones depends on the cells and members only, and both change rarely.
 */
import * as hashing from '@dogwoodstall/hashing';
import type { MemberTable, Role } from './member.js';

/** A daemon monitors the roles for which it ranks among this many first, so that it notices when it has to take over. */
export const TAKEOVER_RANKS = 4;

function isSameList(left: readonly Role[], right: readonly Role[]): boolean {
  return left.length === right.length && left.every((role, index) => role === right[index]);
}

/** Lists the cells that a daemon may take over, and one whose dispatcher tells it of changes. */
export class MonitoredCells {
  private cells: readonly Role[] = [];

  private memberChanges = -1;

  private monitored: readonly Role[] = [];

  constructor(private readonly members: MemberTable) {}

  /** Returns the monitored ones of all cells. */
  list(cells: readonly Role[]): readonly Role[] {
    const { changeCount } = this.members;
    if (changeCount !== this.memberChanges || !isSameList(cells, this.cells)) {
      this.cells = cells;
      this.memberChanges = changeCount;
      this.monitored = this.select(cells);
    }
    return this.monitored;
  }

  private select(cells: readonly Role[]): Role[] {
    const { self } = this.members;
    const monitored = cells.filter((cell) => this.members.isSelfAmongFirst(cell, TAKEOVER_RANKS));
    const [home] = hashing.rankMembers(
      self.name,
      cells.filter(({ zone }) => zone === undefined || zone === self.zone),
      ({ name }) => name,
    );
    const subscribed = home ?? cells[0];
    if (subscribed !== undefined && !monitored.includes(subscribed)) {
      monitored.push(subscribed);
    }
    return monitored;
  }
}
