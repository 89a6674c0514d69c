/**
 * Selects the cell for each request. An entry prefers one cell of its availability zone, so that it keeps connections to
 * few endpoints only, and redirects requests to a less loaded cell when its own is nearly full.
 */
import type * as grants from '@dogwoodstall/grants';
import * as hashing from '@dogwoodstall/hashing';

/** Load of the preferred cell from which on other cells are considered. */
const HIGH_LOAD = 0.75;
/** Required difference in load, because another cell costs new connections. */
const REDIRECT_MARGIN = 0.15;
/** Additional difference for a cell of another zone, because traffic between zones is paid for. */
const OTHER_ZONE_MARGIN = 0.1;
/** Age after which a reported load is ignored. */
const LOAD_EXPIRY_MILLISECONDS = 700;
/** Load that is assumed for a cell without a recent report, low enough that it is tried occasionally. */
const UNKNOWN_LOAD = 0.5;
/** Number of randomly chosen cells that are compared with the preferred one. */
const COMPARED_CELLS = 2;

interface ReportedLoad {
  readonly load: number;
  readonly reportedAt: number;
}

/** Options of `CellSelector`. */
export interface CellSelectorOptions {
  /** Name and zone of this daemon. */
  readonly name: string;
  readonly zone: string;
  readonly listCells: (service: string) => readonly grants.Cell[];
  readonly now: () => number;
  /** Returns a number from 0 to below 1. */
  readonly random: () => number;
}

/** Selects cells for the requests of one daemon. */
export class CellSelector {
  private readonly loads = new Map<string, ReportedLoad>();

  constructor(private readonly options: CellSelectorOptions) {}

  /** Records the load that the dispatcher of a cell reported. */
  recordLoad(cell: string, load: number): void {
    this.loads.set(cell, { load, reportedAt: this.options.now() });
  }

  /** Returns a cell of the service that was not tried yet, or undefined when all were. */
  select(service: string, tried: ReadonlySet<string>): grants.Cell | undefined {
    const cells = this.options.listCells(service).filter(({ name }) => !tried.has(name));
    if (cells.length <= 1) {
      return cells[0];
    }
    const preferred = this.findPreferred(cells);
    let best = preferred;
    let bestLoad = this.estimateLoad(preferred);
    if (bestLoad < HIGH_LOAD) {
      return preferred;
    }
    for (let compared = 0; compared < COMPARED_CELLS; compared += 1) {
      const other = cells[Math.floor(this.options.random() * cells.length)] as grants.Cell;
      const load = this.estimateLoad(other) + (other === preferred ? 0 : this.computeMargin(other));
      if (load < bestLoad) {
        best = other;
        bestLoad = load;
      }
    }
    return best;
  }

  private findPreferred(cells: readonly grants.Cell[]): grants.Cell {
    const sameZone = cells.filter(({ zone }) => zone === this.options.zone);
    const eligible = sameZone.length > 0 ? sameZone : cells;
    const group = hashing.assignGroup(this.options.name, eligible.length);
    return eligible[group] as grants.Cell;
  }

  private estimateLoad({ name }: grants.Cell): number {
    const reported = this.loads.get(name);
    const isFresh =
      reported !== undefined && this.options.now() - reported.reportedAt < LOAD_EXPIRY_MILLISECONDS;
    return isFresh ? reported.load : UNKNOWN_LOAD;
  }

  private computeMargin({ zone }: grants.Cell): number {
    return REDIRECT_MARGIN + (zone === this.options.zone ? 0 : OTHER_ZONE_MARGIN);
  }
}
