/**
 * Selects the dispatcher of each cell and the home of each idempotency key, as seen from one daemon.
 */
import * as hashing from '@dogwoodstall/hashing';
import type * as membership from '@dogwoodstall/membership';
import * as model from '@dogwoodstall/model';
import type * as peerLink from '@dogwoodstall/peer-link';
import type * as proxy from '@dogwoodstall/proxy';
import * as results from '@dogwoodstall/results';

/** Condition that a member announces while it dispatches requests. */
export const READY_CONDITION = 'ready';

/** Peers that are tried for a cell before this daemon dispatches the request itself. */
const MAXIMUM_PEER_DISPATCHERS = 2;

/** Ranks of a cell that receive drain reports: the dispatchers and those next in rank when two are lost. */
const DRAIN_REPORT_RANKS = 4;

interface RankedCell {
  readonly cell: model.Cell;
  readonly members: readonly membership.Member[];
}

/** The cells of a service in each region. */
type RankedRegions = readonly (readonly RankedCell[])[];

/** Selects a cell of one region by the hash of a name, in proportion to the slots of each cell. */
function chooseCell(service: string, cells: readonly RankedCell[], name: string): RankedCell {
  const slots = cells.reduce((total, { cell }) => total + cell.slots, 0);
  let offset = hashing.hashToUnitInterval(name) * slots;
  for (const ranked of cells) {
    offset -= ranked.cell.slots;
    if (offset < 0) {
      return ranked;
    }
  }
  throw new results.FailureError('NoEndpoint', `service ${service} has no backend server`);
}

/** Options of `FleetView`. */
export interface FleetViewOptions {
  readonly members: Pick<
    membership.Membership,
    'self' | 'members' | 'find' | 'findKeyHome' | 'isReachable'
  >;
  readonly links: Pick<peerLink.PeerLinks, 'linkTo'>;
  readonly findConfiguration: () => model.Configuration | undefined;
  /** Incarnations whose keys this daemon executes or replays. */
  readonly activeIncarnations: () => readonly string[];
}

/** Ranks dispatchers and locates key homes. */
export class FleetView {
  // Cached, because ranking all members for each request costs one hash per daemon.
  private readonly rankedRegions = new Map<string, RankedRegions>();

  private rankedConfiguration: model.Configuration | undefined;

  /** Number of issued keys; distributes key homes over the cells of a service. */
  private issuedKeyCount = 0;

  constructor(private readonly options: FleetViewOptions) {}

  /** Drops the cached ranking; called when members change. */
  clearRanking(): void {
    this.rankedRegions.clear();
  }

  /** Returns whether a peer is neither suspected nor known to be unreachable from this daemon. */
  isReachable(name: string): boolean {
    const { members } = this.options;
    return members.isReachable(name) && members.find(name)?.state !== 'suspect';
  }

  /**
   * Returns the daemons to try for a request: the first ranks of its cell in this region, this daemon,
   * and the first dispatcher in each other region that has backend servers of the service.
   */
  planDispatch(service: string, requestId: string): proxy.DispatchPlan {
    const [own, ...others] = this.rankRegions(service);
    const { cell, members } = chooseCell(service, own ?? [], requestId);
    const targets: proxy.DispatchTarget[] = [];
    for (const member of members.slice(0, MAXIMUM_PEER_DISPATCHERS)) {
      if (member.name === this.options.members.self.name) {
        break;
      }
      targets.push({ kind: 'peer', cell: cell.name, peer: this.getPeerTarget(member) });
    }
    targets.push({ kind: 'local', cell: cell.name });
    for (const region of others) {
      const other = chooseCell(service, region, requestId);
      const member = other.members.find(({ name }) => this.isReachable(name));
      if (member !== undefined) {
        targets.push({ kind: 'peer', cell: other.cell.name, peer: this.getPeerTarget(member) });
      }
    }
    return targets;
  }

  /** Returns the home of the next key of a service: the first reachable dispatcher of a cell. */
  chooseKeyHome(service: string): { home: string; incarnation: string } {
    const { self } = this.options.members;
    this.issuedKeyCount += 1;
    const [own] = this.rankRegions(service);
    const { members } = chooseCell(service, own ?? [], `key ${this.issuedKeyCount}`);
    const found = members.find(
      (member) => member.name === self.name || this.isReachable(member.name),
    );
    const home = found ?? self;
    return { home: home.name, incarnation: String(home.incarnation) };
  }

  /** Returns the current location of the keys of an incarnation. */
  locateKeyHome(home: string, incarnation: string): proxy.KeyLocation {
    const { members, activeIncarnations } = this.options;
    if (activeIncarnations().includes(incarnation)) {
      return { kind: 'local' };
    }
    const member = members.findKeyHome(Number(incarnation));
    if (member !== undefined && member.name !== members.self.name) {
      const peer = this.getPeerTarget(member);
      return this.isReachable(member.name) ? { kind: 'peer', peer } : { kind: 'unreachable' };
    }
    // A failed member may only be partitioned, and an unknown one may have just started. Only a later
    // incarnation under the same name proves that the home is gone.
    const known = members.find(home);
    const isReplaced = known !== undefined && known.incarnation > Number(incarnation);
    return { kind: isReplaced ? 'lost' : 'unreachable' };
  }

  /** Returns the highest-ranked members that may dispatch the cell of a backend server. */
  listDispatchers(server: model.BackendServer): readonly membership.Member[] {
    for (const { cell, members } of this.rankRegions(server.service).flat()) {
      if (cell.servers.some((candidate) => candidate.name === server.name)) {
        return members.slice(0, DRAIN_REPORT_RANKS);
      }
    }
    return [];
  }

  /** Returns the link and URL of a member for forwarding requests. */
  getPeerTarget(member: membership.Member): proxy.PeerTarget {
    const link = this.options.links.linkTo({ name: member.name, peerAddress: member.peerAddress });
    return {
      name: member.name,
      dispatcher: link.dispatcher,
      baseUrl: `https://${member.peerAddress}`,
    };
  }

  /** Returns the cells of a service by region, starting with this daemon's region if it has any. */
  private rankRegions(service: string): RankedRegions {
    const configuration = this.options.findConfiguration();
    if (configuration === undefined) {
      throw new results.FailureError('NotReady');
    }
    if (configuration !== this.rankedConfiguration) {
      this.rankedRegions.clear();
      this.rankedConfiguration = configuration;
    }
    let regions = this.rankedRegions.get(service);
    if (regions === undefined) {
      const names = this.listRegions(configuration, service);
      regions = names.map((region) =>
        model.listCells(configuration, service, region).map((cell) => this.rankCell(cell)),
      );
      this.rankedRegions.set(service, regions);
    }
    return regions;
  }

  private listRegions(configuration: model.Configuration, service: string): string[] {
    const { region: own } = this.options.members.self;
    const regions = new Set<string>();
    for (const server of configuration.getServers(service)) {
      regions.add(configuration.getRegion(server.zone));
    }
    const others = [...regions].filter((region) => region !== own).sort();
    return regions.has(own) ? [own, ...others] : others;
  }

  private rankCell(cell: model.Cell): RankedCell {
    const candidates: membership.Member[] = [];
    for (const member of this.options.members.members()) {
      const isLive = member.state === 'alive' || member.state === 'suspect';
      if (isLive && member.condition === READY_CONDITION && member.region === cell.region) {
        candidates.push(member);
      }
    }
    const members = hashing.rankMembers(cell.name, candidates, (member) => member.name);
    return { cell, members };
  }
}
