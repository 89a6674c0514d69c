/**
 * Content of the in-memory store, with the history of endpoint changes.
 */
import type { Endpoint, Organisation, TrafficConfiguration } from '@dogwoodstall/traffic';
import type * as gatewayDaemon from '../src/index.js';

interface Change {
  readonly revision: number;
  readonly change: gatewayDaemon.EndpointChange;
}

/** The content of the store, shared by the connections of all daemons. */
export class MemoryStore {
  revision = 1;

  configuration: TrafficConfiguration | undefined;

  configurationRevision = 0;

  readonly endpoints = new Map<string, Endpoint>();

  readonly changes: Change[] = [];

  readonly members = new Map<string, gatewayDaemon.Member>();

  crashRecords: gatewayDaemon.VersionedCrashRecords = { records: [], revision: 0 };

  put(endpoint: Endpoint): void {
    this.revision += 1;
    this.endpoints.set(endpoint.id, endpoint);
    this.changes.push({ revision: this.revision, change: { kind: 'put', endpoint } });
  }

  remove(id: string): void {
    this.revision += 1;
    this.endpoints.delete(id);
    this.changes.push({ revision: this.revision, change: { kind: 'removed', id } });
  }

  configure(version: number, service: string, organisations?: Organisation[]): void {
    this.revision += 1;
    this.configurationRevision = this.revision;
    this.configuration = {
      version,
      routes: [
        {
          name: 'offers',
          host: 'shop.example',
          prefix: '/',
          idempotent: true,
          destinations: [{ service, weight: 1 }],
          timeoutMilliseconds: 2000,
          targetMilliseconds: 400,
          maximumAttempts: 2,
          priority: 1,
        },
      ],
      services: [],
      ...(organisations !== undefined && { organisations }),
      limits: {
        headerBytes: 16_384,
        bodyBytes: 1_000_000,
        headerMilliseconds: 3000,
        idleMilliseconds: 15_000,
      },
    };
  }
}
