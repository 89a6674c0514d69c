/**
 * The dispatchers of the cells that a daemon serves. Each is created on the first request to its cell.
 */
import * as model from '@dogwoodstall/model';
import * as results from '@dogwoodstall/results';
import { CellDispatcher } from './cell-dispatcher.js';
import type { CellDispatcherOptions } from './options.js';
import type { CellSnapshot } from './snapshot.js';

/** The dispatcher of a cell without requests is closed after this time. */
const DEFAULT_IDLE_MILLISECONDS = 120_000;

/** Options of a `DispatcherRegistry`. */
export interface DispatcherRegistryOptions extends Pick<
  CellDispatcherOptions,
  'now' | 'random' | 'schedule' | 'crashGuard' | 'logDecision' | 'logHealth'
> {
  readonly configuration: model.Configuration;
  readonly idleMilliseconds?: number;
}

/** Creates, updates and closes the dispatchers of cells. */
export class DispatcherRegistry {
  private readonly options: DispatcherRegistryOptions;

  private readonly dispatchers = new Map<string, CellDispatcher>();

  /** Endpoints reported as draining; remembered for dispatchers that are created later. */
  private readonly drainingEndpoints = new Set<string>();

  private configuration: model.Configuration;

  constructor(options: DispatcherRegistryOptions) {
    this.options = options;
    this.configuration = options.configuration;
  }

  /**
   * Returns the dispatcher of a cell, creating it if necessary.
   *
   * Throws `NoEndpoint` if the cell is not in the configuration.
   */
  getOrCreate(cellName: string): CellDispatcher {
    const found = this.dispatchers.get(cellName);
    if (found !== undefined) {
      return found;
    }
    const cell = this.findCell(cellName);
    const contract = cell && this.configuration.services.get(cell.service)?.contract;
    if (cell === undefined || contract === undefined) {
      throw new results.FailureError('NoEndpoint', `cell ${cellName} is not in the configuration`);
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
      if (this.drainingEndpoints.has(server.name)) {
        dispatcher.markDraining(server.name);
      }
    }
    return dispatcher;
  }

  /** Returns the dispatcher of a cell if it has been created. */
  find(cellName: string): CellDispatcher | undefined {
    return this.dispatchers.get(cellName);
  }

  /** Applies a new configuration; dispatchers of removed cells are closed. */
  updateConfiguration(configuration: model.Configuration): void {
    this.removeEndedDrains(configuration);
    this.configuration = configuration;
    for (const [cellName, dispatcher] of this.dispatchers) {
      const cell = this.findCell(cellName);
      const contract = cell && configuration.services.get(cell.service)?.contract;
      if (cell === undefined || contract === undefined) {
        dispatcher.updateEndpoints([]);
        this.closeDispatcher(cellName, dispatcher);
      } else {
        dispatcher.updateEndpoints(cell.servers, contract);
      }
    }
  }

  /** Stops sending new requests to an endpoint, whichever cell it belongs to. */
  markDraining(endpointName: string): void {
    this.drainingEndpoints.add(endpointName);
    for (const dispatcher of this.dispatchers.values()) {
      dispatcher.markDraining(endpointName);
    }
  }

  /** Ends a reported drain of an endpoint. */
  clearDraining(endpointName: string): void {
    this.drainingEndpoints.delete(endpointName);
    for (const dispatcher of this.dispatchers.values()) {
      dispatcher.clearDraining(endpointName);
    }
  }

  /** Closes the dispatchers of idle cells; returns the names of the cells. */
  dropIdle(): string[] {
    const before =
      this.options.now() - (this.options.idleMilliseconds ?? DEFAULT_IDLE_MILLISECONDS);
    const dropped: string[] = [];
    for (const [cellName, dispatcher] of this.dispatchers) {
      const idleSince = dispatcher.idleSince();
      if (idleSince !== undefined && idleSince <= before) {
        this.closeDispatcher(cellName, dispatcher);
        dropped.push(cellName);
      }
    }
    return dropped;
  }

  /** Returns the state of all cells. */
  snapshot(): CellSnapshot[] {
    return [...this.dispatchers.values()].map((dispatcher) => dispatcher.snapshot());
  }

  private closeDispatcher(cellName: string, dispatcher: CellDispatcher): void {
    this.dispatchers.delete(cellName);
    dispatcher.close();
  }

  private removeEndedDrains(next: model.Configuration): void {
    for (const name of this.drainingEndpoints) {
      const before = this.configuration.backendServers.get(name);
      const server = next.backendServers.get(name);
      const restarted = before?.address !== server?.address;
      const drainEnded = before?.draining === true && server?.draining === false;
      if (server === undefined || restarted || drainEnded) {
        this.drainingEndpoints.delete(name);
      }
    }
  }

  private findCell(cellName: string): model.Cell | undefined {
    const [service = '', region = ''] = cellName.split('/');
    const cells = model.listCells(this.configuration, service, region);
    return cells.find((cell) => cell.name === cellName);
  }
}
