/**
 * The cells into which the services are divided, by name and by service.
 */
import * as grants from '@dogwoodstall/grants';
import type { Endpoint } from '@dogwoodstall/traffic';

/** The cells of the known endpoints. */
export class CellIndex {
  private readonly cellsByName = new Map<string, grants.Cell>();

  private readonly cellsByService = new Map<string, readonly grants.Cell[]>();

  /** Divides the given services, and those of the endpoints, into cells. */
  rebuild(services: Iterable<string>, endpoints: Iterable<Endpoint>): void {
    const endpointsByService = new Map<string, Endpoint[]>();
    for (const service of services) {
      endpointsByService.set(service, []);
    }
    for (const endpoint of endpoints) {
      const list = endpointsByService.get(endpoint.service) ?? [];
      list.push(endpoint);
      endpointsByService.set(endpoint.service, list);
    }
    this.cellsByName.clear();
    this.cellsByService.clear();
    for (const [service, list] of endpointsByService) {
      const cells = grants.partitionIntoCells(service, list);
      this.cellsByService.set(service, cells);
      for (const cell of cells) {
        this.cellsByName.set(cell.name, cell);
      }
    }
  }

  /**
   * Returns the endpoints of a cell. Daemons learn at different times that a service is divided into other cells, so that
   * the name may also be of a former cell, or of one that this daemon does not know yet.
   */
  listEndpoints(cell: string): readonly Endpoint[] {
    const known = this.cellsByName.get(cell);
    if (known !== undefined) {
      return known.endpoints;
    }
    const cells = this.cellsByService.get(grants.findServiceOfCell(cell)) ?? [];
    return grants.selectEndpointsOfCell(
      cell,
      cells.flatMap(({ endpoints }) => endpoints),
    );
  }

  /** Whether any service is divided into a cell with the given name. */
  has(name: string): boolean {
    return this.cellsByName.has(name);
  }

  /** Returns the cell with the given name, also a former one. */
  get(name: string): grants.Cell {
    const known = this.cellsByName.get(name);
    const service = grants.findServiceOfCell(name);
    return known ?? { name, service, zone: undefined, endpoints: this.listEndpoints(name) };
  }

  /** Returns the cells of a service; there is always at least one. */
  listOf(service: string): readonly grants.Cell[] {
    return this.cellsByService.get(service) ?? grants.partitionIntoCells(service, []);
  }

  /** Returns the cells of every service that has a route or an endpoint. */
  list(): Iterable<grants.Cell> {
    return this.cellsByName.values();
  }
}
