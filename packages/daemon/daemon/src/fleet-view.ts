/**
 * Where work goes, as seen from one daemon: the dispatcher of each cell and the home of each key.
 */
import * as hashing from '@dogwoodstall/hashing';
import type * as membership from '@dogwoodstall/membership';
import * as model from '@dogwoodstall/model';
import type * as peerLink from '@dogwoodstall/peer-link';
import type * as proxy from '@dogwoodstall/proxy';
import * as results from '@dogwoodstall/results';

/** Condition that a member announces while it takes part in dispatch. */
export const READY_CONDITION = 'ready';

/** Daemons that are tried for a cell before the daemon dispatches itself. */
const RANKED_DISPATCHERS = 2;

/** Ranks of a cell that learn of a drain; the next dispatchers when one or two are lost at once. */
const DRAIN_INFORMED_RANKS = 4;

interface RankedCell {
  readonly cell: model.Cell;
  readonly members: readonly membership.Member[];
}

/** Options of `FleetView`. */
export interface FleetViewOptions {
  readonly members: Pick<
    membership.Membership,
    'self' | 'members' | 'find' | 'findKeyHome' | 'isReachable'
  >;
  readonly links: Pick<peerLink.PeerLinks, 'linkTo'>;
  readonly findConfiguration: () => model.Configuration | undefined;
  /** Incarnations whose keys this daemon runs or replays. */
  readonly activeIncarnations: () => readonly string[];
}

/** Ranks dispatchers and locates key homes. */
export class FleetView {
  // Ranking all members for each request would cost as many hashes as there are daemons.
  private readonly ranked = new Map<string, readonly RankedCell[]>();

  private rankedConfiguration: model.Configuration | undefined;

  /** Spreads the homes of keys over the cells of a service. */
  private issuedKeys = 0;

  constructor(private readonly options: FleetViewOptions) {}

  /** Drops the cached ranking; called when members change. */
  forgetRanking(): void {
    this.ranked.clear();
  }

  /** Returns whether a peer is neither suspected nor known to be unreachable from here. */
  isReachable(name: string): boolean {
    const { members } = this.options;
    return members.isReachable(name) && members.find(name)?.state !== 'suspect';
  }

  /** Returns the cell of a request and the daemons to try, this daemon last. */
  planDispatch(service: string, requestId: string): proxy.DispatchPlan {
    const { cell, members } = this.chooseCell(service, requestId);
    const targets: proxy.DispatchTarget[] = [];
    for (const member of members.slice(0, RANKED_DISPATCHERS)) {
      if (member.name === this.options.members.self.name) {
        break;
      }
      targets.push({ kind: 'peer', peer: this.targetOf(member) });
    }
    targets.push({ kind: 'local' });
    return { cell: cell.name, targets };
  }

  /** Returns the incarnation that new keys of a service name: its reachable dispatcher. */
  chooseKeyHome(service: string): { home: string; incarnation: string } {
    const { self } = this.options.members;
    this.issuedKeys += 1;
    const { members } = this.chooseCell(service, `key ${this.issuedKeys}`);
    const found = members.find(
      (member) => member.name === self.name || this.isReachable(member.name),
    );
    const home = found ?? self;
    return { home: home.name, incarnation: String(home.incarnation) };
  }

  /** Returns where the keys of an incarnation live now. */
  locateKeyHome(home: string, incarnation: string): proxy.KeyLocation {
    const { members, activeIncarnations } = this.options;
    if (activeIncarnations().includes(incarnation)) {
      return { kind: 'local' };
    }
    const member = members.findKeyHome(Number(incarnation));
    if (member !== undefined && member.name !== members.self.name) {
      const peer = this.targetOf(member);
      return this.isReachable(member.name) ? { kind: 'peer', peer } : { kind: 'unreachable' };
    }
    // A failed member may only be cut off; another incarnation under its name proves that it is gone.
    const known = members.find(home);
    return { kind: String(known?.incarnation) === incarnation ? 'unreachable' : 'lost' };
  }

  /** Returns the members that may dispatch the cell of a backend server, the first ranks only. */
  listDispatchers(server: model.BackendServer): readonly membership.Member[] {
    for (const { cell, members } of this.rankCells(server.service)) {
      if (cell.servers.some((candidate) => candidate.name === server.name)) {
        return members.slice(0, DRAIN_INFORMED_RANKS);
      }
    }
    return [];
  }

  /** Returns the link of a member, as the request path uses it. */
  targetOf(member: membership.Member): proxy.PeerTarget {
    const link = this.options.links.linkTo({ name: member.name, peerAddress: member.peerAddress });
    return {
      name: member.name,
      dispatcher: link.dispatcher,
      baseUrl: `https://${member.peerAddress}`,
    };
  }

  private chooseCell(service: string, requestId: string): RankedCell {
    const cells = this.rankCells(service);
    const slots = cells.reduce((total, { cell }) => total + cell.slots, 0);
    let place = hashing.hashFraction(requestId) * slots;
    for (const ranked of cells) {
      place -= ranked.cell.slots;
      if (place < 0) {
        return ranked;
      }
    }
    throw new results.FailureError('NoEndpoint', `service ${service} has no backend server`);
  }

  private rankCells(service: string): readonly RankedCell[] {
    const configuration = this.options.findConfiguration();
    if (configuration === undefined) {
      throw new results.FailureError('NotReady');
    }
    if (configuration !== this.rankedConfiguration) {
      this.ranked.clear();
      this.rankedConfiguration = configuration;
    }
    let cells = this.ranked.get(service);
    if (cells === undefined) {
      cells = this.listServingCells(configuration, service).map((cell) => this.rankCell(cell));
      this.ranked.set(service, cells);
    }
    return cells;
  }

  // A service without backend servers in this region is dispatched in the first region that has some.
  private listServingCells(configuration: model.Configuration, service: string): model.Cell[] {
    const own = model.listCells(configuration, service, this.options.members.self.region);
    if (own.length > 0) {
      return own;
    }
    const [server] = configuration.serversOf(service);
    return server === undefined
      ? []
      : model.listCells(configuration, service, configuration.regionOf(server.zone));
  }

  private rankCell(cell: model.Cell): RankedCell {
    const candidates: membership.Member[] = [];
    for (const member of this.options.members.members()) {
      const serves = member.state === 'alive' || member.state === 'suspect';
      if (serves && member.condition === READY_CONDITION && member.region === cell.region) {
        candidates.push(member);
      }
    }
    const members = hashing.rankMembers(cell.name, candidates, (member) => member.name);
    return { cell, members };
  }
}
