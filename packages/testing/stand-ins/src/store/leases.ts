/**
 * Leases of the store stand-in. Keys that are attached to a lease are deleted when it expires.
 */
import type { KeySpace } from './key-space.js';

interface Lease {
  readonly seconds: number;
  timer: NodeJS.Timeout;
}

/** Grants, renews, expires and revokes leases. */
export class LeaseTable {
  private readonly leases = new Map<string, Lease>();

  private readonly keySpace: KeySpace;

  private lastId = 7_587_000_000;

  constructor(keySpace: KeySpace) {
    this.keySpace = keySpace;
  }

  /** Grants a lease and returns its id. */
  grant(seconds: number, requestedId: string): string {
    this.lastId += 1;
    const id = requestedId === '0' ? String(this.lastId) : requestedId;
    this.leases.set(id, { seconds, timer: this.startTimer(id, seconds) });
    return id;
  }

  has(id: string): boolean {
    return this.leases.has(id);
  }

  /** Renews a lease and returns its time to live in seconds; 0 when it does not exist. */
  keepAlive(id: string): number {
    const lease = this.leases.get(id);
    if (lease === undefined) {
      return 0;
    }
    clearTimeout(lease.timer);
    lease.timer = this.startTimer(id, lease.seconds);
    return lease.seconds;
  }

  /** Revokes a lease and deletes its keys; returns whether the lease existed. */
  revoke(id: string): boolean {
    const lease = this.leases.get(id);
    if (lease === undefined) {
      return false;
    }
    clearTimeout(lease.timer);
    this.leases.delete(id);
    const attached = this.keySpace.range('\0', '\0').filter((stored) => stored.lease === id);
    this.keySpace.write((batch) => {
      for (const stored of attached) {
        batch.remove(stored.key, '');
      }
    });
    return true;
  }

  stop(): void {
    for (const lease of this.leases.values()) {
      clearTimeout(lease.timer);
    }
  }

  private startTimer(id: string, seconds: number): NodeJS.Timeout {
    return setTimeout(() => this.revoke(id), seconds * 1000);
  }
}
