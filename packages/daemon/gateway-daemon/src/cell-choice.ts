/**
 * The cell that a request is sent to. An entry keeps to one cell of its zone, so that it needs connections to few
 * endpoints, and moves requests to another cell when its own is fuller.
 */
import type * as grants from '@dogwoodstall/grants';
import * as hashing from '@dogwoodstall/hashing';

/** Above this load of the entry's own cell, others are considered. */
const FULL_LOAD = 0.75;
/** How much emptier another cell has to be, because it costs new connections, and bytes in another zone. */
const MOVE_MARGIN = 0.15;
const OTHER_ZONE_MARGIN = 0.1;
/** Age after which a cell's load is no longer believed. */
const LOAD_MILLISECONDS = 700;
/** Load that is assumed of a cell about which nothing is known, so that it is tried now and then. */
const UNKNOWN_LOAD = 0.5;
/** Other cells that are compared with the own one. */
const COMPARED_CELLS = 2;

interface KnownLoad {
  readonly load: number;
  readonly at: number;
}

/** Options of `CellChoice`. */
export interface CellChoiceOptions {
  /** Name and zone of this daemon. */
  readonly name: string;
  readonly zone: string;
  readonly listCells: (service: string) => readonly grants.Cell[];
  readonly now: () => number;
  /** Returns a number from 0 to below 1. */
  readonly random: () => number;
}

/** Chooses cells for the requests of one daemon. */
export class CellChoice {
  private readonly loads = new Map<string, KnownLoad>();

  constructor(private readonly options: CellChoiceOptions) {}

  /** Notes the load that the dispatcher of a cell told. */
  note(cell: string, load: number): void {
    this.loads.set(cell, { load, at: this.options.now() });
  }

  /** Returns a cell of the service that was not tried; undefined when all were. */
  choose(service: string, tried: ReadonlySet<string>): grants.Cell | undefined {
    const cells = this.options.listCells(service).filter(({ name }) => !tried.has(name));
    if (cells.length <= 1) {
      return cells[0];
    }
    const own = this.findOwn(cells);
    let best = own;
    let bestLoad = this.estimate(own);
    if (bestLoad < FULL_LOAD) {
      return own;
    }
    for (let compared = 0; compared < COMPARED_CELLS; compared += 1) {
      const other = cells[Math.floor(this.options.random() * cells.length)] as grants.Cell;
      const load = this.estimate(other) + (other === own ? 0 : this.rateDistance(other));
      if (load < bestLoad) {
        best = other;
        bestLoad = load;
      }
    }
    return best;
  }

  private findOwn(cells: readonly grants.Cell[]): grants.Cell {
    const near = cells.filter(({ zone }) => zone === this.options.zone);
    const eligible = near.length > 0 ? near : cells;
    const group = hashing.assignGroup(this.options.name, eligible.length);
    return eligible[group] as grants.Cell;
  }

  private estimate({ name }: grants.Cell): number {
    const known = this.loads.get(name);
    const isFresh = known !== undefined && this.options.now() - known.at < LOAD_MILLISECONDS;
    return isFresh ? known.load : UNKNOWN_LOAD;
  }

  private rateDistance({ zone }: grants.Cell): number {
    return MOVE_MARGIN + (zone === this.options.zone ? 0 : OTHER_ZONE_MARGIN);
  }
}
