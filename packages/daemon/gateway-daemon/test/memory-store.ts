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
  era = 0;

  revision = 1;

  configuration: TrafficConfiguration | undefined;

  configurationRevision = 0;

  readonly endpoints = new Map<string, Endpoint>();

  changes: Change[] = [];

  readonly members = new Map<string, gatewayDaemon.Member>();

  crashRecords: gatewayDaemon.VersionedCrashRecords = { records: [], revision: 0, era: 0 };

  /** Returns a function that puts the store back to its present content, in a new era. */
  copy(): () => void {
    const { revision, configuration, configurationRevision, changes, crashRecords } = this;
    const endpoints = [...this.endpoints];
    const members = [...this.members];
    return () => {
      this.era += 1;
      Object.assign(this, { revision, configuration, configurationRevision, crashRecords });
      this.changes = changes.filter((change) => change.revision <= revision);
      this.endpoints.clear();
      for (const [id, endpoint] of endpoints) {
        this.endpoints.set(id, endpoint);
      }
      this.members.clear();
      for (const [name, member] of members) {
        this.members.set(name, member);
      }
    };
  }

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
