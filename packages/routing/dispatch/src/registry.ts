/**
 * The dispatchers of the cells that a daemon serves, created when their first request arrives.
 */
import * as model from '@dogwoodstall/model';
import * as results from '@dogwoodstall/results';
import { CellDispatcher } from './cell-dispatcher.js';
import type { CellDispatcherOptions } from './options.js';
import type { CellSnapshot } from './snapshot.js';

/** A cell without requests is dropped after this time. */
const DEFAULT_IDLE_MILLISECONDS = 120_000;

/** Options of a `DispatcherRegistry`. */
export interface DispatcherRegistryOptions extends Pick<
  CellDispatcherOptions,
  'now' | 'random' | 'schedule' | 'crashGuard' | 'logDecision' | 'logHealth'
> {
  readonly configuration: model.Configuration;
  readonly idleMilliseconds?: number;
}

/** Creates, updates and drops the dispatchers of cells. */
export class DispatcherRegistry {
  private readonly options: DispatcherRegistryOptions;

  private readonly dispatchers = new Map<string, CellDispatcher>();

  /** Endpoints that some source said to drain; kept for cells that are created later. */
  private readonly draining = new Set<string>();

  private configuration: model.Configuration;

  constructor(options: DispatcherRegistryOptions) {
    this.options = options;
    this.configuration = options.configuration;
  }

  /**
   * Returns the dispatcher of a cell.
   *
   * Throws `NoEndpoint` when the configuration has no such cell.
   */
  open(cellName: string): CellDispatcher {
    const found = this.dispatchers.get(cellName);
    if (found !== undefined) {
      return found;
    }
    const cell = this.findCell(cellName);
    const contract = cell && this.configuration.services.get(cell.service)?.contract;
    if (cell === undefined || contract === undefined) {
      throw new results.FailureError('NoEndpoint', `no cell ${cellName} is configured`);
    }
    const dispatcher = new CellDispatcher({
      ...this.options,
      cellName,
      servers: cell.servers,
      contract,
      findWeight: (organisation) => this.configuration.organisations.get(organisation)?.weight ?? 1,
    });
    this.dispatchers.set(cellName, dispatcher);
    for (const server of cell.servers) {
      if (this.draining.has(server.name)) {
        dispatcher.markDraining(server.name);
      }
    }
    return dispatcher;
  }

  /** Returns the dispatcher of a cell if it exists. */
  find(cellName: string): CellDispatcher | undefined {
    return this.dispatchers.get(cellName);
  }

  /** Follows a new configuration; cells that no longer exist are closed. */
  updateConfiguration(configuration: model.Configuration): void {
    this.forgetEndedDrains(configuration);
    this.configuration = configuration;
    for (const [cellName, dispatcher] of this.dispatchers) {
      const cell = this.findCell(cellName);
      const contract = cell && configuration.services.get(cell.service)?.contract;
      if (cell === undefined || contract === undefined) {
        dispatcher.updateEndpoints([]);
        this.drop(cellName, dispatcher);
      } else {
        dispatcher.updateEndpoints(cell.servers, contract);
      }
    }
  }

  /** Stops new work at an endpoint, in whatever cell it is. */
  markDraining(endpointName: string): void {
    this.draining.add(endpointName);
    for (const dispatcher of this.dispatchers.values()) {
      dispatcher.markDraining(endpointName);
    }
  }

  /** Ends a drain that an endpoint announced. */
  clearDraining(endpointName: string): void {
    this.draining.delete(endpointName);
    for (const dispatcher of this.dispatchers.values()) {
      dispatcher.clearDraining(endpointName);
    }
  }

  /** Drops the cells that had no request for a while; returns their names. */
  dropIdle(): string[] {
    const before =
      this.options.now() - (this.options.idleMilliseconds ?? DEFAULT_IDLE_MILLISECONDS);
    const dropped: string[] = [];
    for (const [cellName, dispatcher] of this.dispatchers) {
      const idleSince = dispatcher.idleSince();
      if (idleSince !== undefined && idleSince <= before) {
        this.drop(cellName, dispatcher);
        dropped.push(cellName);
      }
    }
    return dropped;
  }

  /** Describes the cells. */
  snapshot(): CellSnapshot[] {
    return [...this.dispatchers.values()].map((dispatcher) => dispatcher.snapshot());
  }

  private drop(cellName: string, dispatcher: CellDispatcher): void {
    this.dispatchers.delete(cellName);
    dispatcher.close();
  }

  private forgetEndedDrains(next: model.Configuration): void {
    for (const name of this.draining) {
      const before = this.configuration.backendServers.get(name);
      const server = next.backendServers.get(name);
      const restarted = before?.address !== server?.address;
      const drainEnded = before?.draining === true && server?.draining === false;
      if (server === undefined || restarted || drainEnded) {
        this.draining.delete(name);
      }
    }
  }

  private findCell(cellName: string): model.Cell | undefined {
    const [service = '', region = ''] = cellName.split('/');
    const cells = model.listCells(this.configuration, service, region);
    return cells.find((cell) => cell.name === cellName);
  }
}
