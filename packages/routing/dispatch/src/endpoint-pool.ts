/**
 * The endpoints of a cell with their slots, and the choice between them.
 */
import type { CellHealth } from '@dogwoodstall/health';
import type { BackendServer } from '@dogwoodstall/model';
import { EndpointSlots } from './endpoint-slots.js';
import type { DispatchRequest } from './request.js';

/** Added to the occupancy of an endpoint that is in use only because of the floor. */
const KEPT_BY_FLOOR_PENALTY = 100;

/** Decides between equal occupancies only. */
const OTHER_ZONE_PENALTY = 1e-6;

/** Slots of a cell that may be used now. */
export interface Capacity {
  readonly slots: number;
  readonly longInFlight: number;
  readonly inFlight: number;
}

/** The endpoints of a cell. */
export class EndpointPool {
  private readonly endpoints = new Map<string, EndpointSlots>();

  /** Rotates the start of the search, so that equal endpoints share the work. */
  private cursor = 0;

  private ordered: EndpointSlots[] = [];

  constructor(
    servers: readonly BackendServer[],
    private readonly health: CellHealth,
  ) {
    this.update(servers);
  }

  /** Follows the configuration; the count of requests in flight is kept. */
  update(servers: readonly BackendServer[]): void {
    const names = new Set(servers.map((server) => server.name));
    for (const [name, endpoint] of this.endpoints) {
      endpoint.removed = !names.has(name);
      if (endpoint.removed && endpoint.inFlight === 0) {
        this.endpoints.delete(name);
      }
    }
    for (const server of servers) {
      this.updateServer(server);
    }
    this.ordered = [...this.endpoints.values()];
  }

  /** Stops new work at an endpoint. */
  markDraining(name: string): void {
    const endpoint = this.endpoints.get(name);
    if (endpoint !== undefined) {
      endpoint.saidDraining = true;
      this.health.markDraining(name);
    }
  }

  /** Ends a drain that the endpoint announced; a configured drain goes on. */
  clearDraining(name: string): void {
    const endpoint = this.endpoints.get(name);
    if (endpoint?.saidDraining === true) {
      endpoint.saidDraining = false;
      this.health.markDraining(name, endpoint.server.draining);
    }
  }

  /** Returns all endpoints. */
  list(): readonly EndpointSlots[] {
    return this.ordered;
  }

  /** Returns whether a request has an endpoint that may take it at some time. */
  hasCandidate(excluded: ReadonlySet<string>): boolean {
    for (const endpoint of this.ordered) {
      if (!endpoint.draining && !excluded.has(endpoint.server.name)) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether any endpoint can take a request now. */
  hasRoom(now: number): boolean {
    for (const endpoint of this.ordered) {
      if (endpoint.hasRoom(now, this.health.admissionWeight(endpoint.server.name, now))) {
        return true;
      }
    }
    return false;
  }

  /** Sums up the slots that may be used now. */
  measure(now: number): Capacity {
    let slots = 0;
    let longInFlight = 0;
    let inFlight = 0;
    for (const endpoint of this.ordered) {
      const weight = this.health.admissionWeight(endpoint.server.name, now);
      slots += endpoint.draining || weight <= 0 ? 0 : endpoint.usable(now, weight);
      longInFlight += endpoint.longInFlight;
      inFlight += endpoint.inFlight;
    }
    return { slots, longInFlight, inFlight };
  }

  /**
   * Returns the endpoint for a request: the least occupied one, and among equals one in the zone of
   * origin. Endpoints that only the floor keeps in use come last.
   */
  choose(request: DispatchRequest, now: number): EndpointSlots | undefined {
    let best: EndpointSlots | undefined;
    let bestScore = Infinity;
    const count = this.ordered.length;
    this.cursor = (this.cursor + 1) % Math.max(1, count);
    for (let offset = 0; offset < count; offset += 1) {
      const endpoint = this.ordered[(this.cursor + offset) % count];
      if (endpoint !== undefined && this.isEligible(endpoint, request, now)) {
        const score = this.score(endpoint, request, now);
        if (score < bestScore) {
          best = endpoint;
          bestScore = score;
        }
      }
    }
    return best;
  }

  private isEligible(endpoint: EndpointSlots, request: DispatchRequest, now: number): boolean {
    const { name } = endpoint.server;
    if (request.excludedEndpoints.has(name)) {
      return false;
    }
    return endpoint.hasRoom(now, this.health.admissionWeight(name, now));
  }

  private score(endpoint: EndpointSlots, request: DispatchRequest, now: number): number {
    const { name, zone } = endpoint.server;
    const penalty = this.health.isKeptByFloor(name) ? KEPT_BY_FLOOR_PENALTY : 0;
    const zonePenalty = zone === request.originZone ? 0 : OTHER_ZONE_PENALTY;
    return endpoint.occupancy(now) + penalty + zonePenalty;
  }

  private updateServer(server: BackendServer): void {
    const endpoint = this.endpoints.get(server.name);
    if (endpoint === undefined) {
      this.endpoints.set(server.name, new EndpointSlots(server));
      return;
    }
    // A new address is a new process, and the end of a configured drain is an operator's decision:
    // both end what the endpoint said about itself.
    const restarted = endpoint.server.address !== server.address;
    const drainEnded = endpoint.server.draining && !server.draining;
    endpoint.saidDraining = endpoint.saidDraining && !restarted && !drainEnded;
    endpoint.server = server;
    if (endpoint.saidDraining) {
      this.health.markDraining(server.name);
    }
  }
}
