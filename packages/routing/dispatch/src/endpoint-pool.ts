/**
 * The endpoints of a cell with their slots, and the selection of an endpoint for a request.
 */
import type { CellHealth } from '@dogwoodstall/health';
import type { BackendServer } from '@dogwoodstall/model';
import { EndpointSlots } from './endpoint-slots.js';
import type { DispatchRequest } from './request.js';

/** Added to the occupancy of an endpoint that only the healthy capacity floor keeps in use. */
const KEPT_BY_FLOOR_PENALTY = 100;

/** Small enough to act only as a tie-breaker between equal occupancies. */
const OTHER_ZONE_PENALTY = 1e-6;

/** Usable slots of a cell and the requests in flight. */
export interface Capacity {
  readonly slots: number;
  readonly longInFlight: number;
  readonly inFlight: number;
}

/** Tracks the endpoints of a cell and selects one for each request. */
export class EndpointPool {
  private readonly endpoints = new Map<string, EndpointSlots>();

  /** Rotates the start of the search, so that the load is spread over endpoints of equal score. */
  private cursor = 0;

  private endpointList: EndpointSlots[] = [];

  constructor(
    servers: readonly BackendServer[],
    private readonly health: CellHealth,
  ) {
    this.update(servers);
  }

  /**
   * Applies a new list of backend servers. An endpoint that is removed with requests in flight is
   * kept until a later update finds it idle.
   */
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
    this.endpointList = [...this.endpoints.values()];
  }

  /** Stops sending new requests to an endpoint. */
  markDraining(name: string): void {
    const endpoint = this.endpoints.get(name);
    if (endpoint !== undefined) {
      endpoint.reportedDraining = true;
      this.health.markDraining(name);
    }
  }

  /** Ends a reported drain; a drain set in the configuration stays in effect. */
  clearDraining(name: string): void {
    const endpoint = this.endpoints.get(name);
    if (endpoint?.reportedDraining === true) {
      endpoint.reportedDraining = false;
      this.health.markDraining(name, endpoint.server.draining);
    }
  }

  /** Returns all endpoints, including removed ones that are still kept. */
  list(): readonly EndpointSlots[] {
    return this.endpointList;
  }

  /** Returns whether any endpoint outside `excluded` is not draining, even if it is full or ejected. */
  hasCandidate(excluded: ReadonlySet<string>): boolean {
    for (const endpoint of this.endpointList) {
      if (!endpoint.draining && !excluded.has(endpoint.server.name)) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether any endpoint can accept a request now. */
  hasFreeSlot(now: number): boolean {
    for (const endpoint of this.endpointList) {
      if (endpoint.hasFreeSlot(now, this.health.admissionWeight(endpoint.server.name, now))) {
        return true;
      }
    }
    return false;
  }

  /** Sums the usable slots and the requests in flight of all endpoints. */
  computeCapacity(now: number): Capacity {
    let slots = 0;
    let longInFlight = 0;
    let inFlight = 0;
    for (const endpoint of this.endpointList) {
      const weight = this.health.admissionWeight(endpoint.server.name, now);
      slots += endpoint.draining || weight <= 0 ? 0 : endpoint.usableSlots(now, weight);
      longInFlight += endpoint.longInFlight;
      inFlight += endpoint.inFlight;
    }
    return { slots, longInFlight, inFlight };
  }

  /**
   * Selects an endpoint with a free slot: the least occupied one, preferring the request's origin
   * zone among equals. Endpoints that only the healthy capacity floor keeps in use come last.
   */
  selectEndpoint(request: DispatchRequest, now: number): EndpointSlots | undefined {
    let best: EndpointSlots | undefined;
    let bestScore = Infinity;
    const count = this.endpointList.length;
    this.cursor = (this.cursor + 1) % Math.max(1, count);
    for (let offset = 0; offset < count; offset += 1) {
      const endpoint = this.endpointList[(this.cursor + offset) % count];
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
    return endpoint.hasFreeSlot(now, this.health.admissionWeight(name, now));
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
    // A new address means a new process, and an operator who ends a configured drain wants the
    // endpoint back in service: either one clears the reported drain.
    const restarted = endpoint.server.address !== server.address;
    const drainEnded = endpoint.server.draining && !server.draining;
    endpoint.reportedDraining = endpoint.reportedDraining && !restarted && !drainEnded;
    endpoint.server = server;
    if (endpoint.reportedDraining) {
      this.health.markDraining(server.name);
    }
  }
}
