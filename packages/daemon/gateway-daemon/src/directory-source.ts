/**
 * The interface through which a daemon reads the platform's key-value store.
 */
import type { Endpoint, TrafficConfiguration } from '@dogwoodstall/traffic';
import * as z from 'zod';
import type { Member } from './member.js';
import type { StorePosition } from './store-position.js';

/** One change of the endpoints. */
export type EndpointChange =
  | { readonly kind: 'put'; readonly endpoint: Endpoint }
  | { readonly kind: 'removed'; readonly id: string };

/** Changes of endpoints up to a position of the store. */
export interface EndpointChanges extends StorePosition {
  readonly changes: readonly EndpointChange[];
}

/** The configuration at a position of the store, undefined when none is stored. */
export interface VersionedConfiguration extends StorePosition {
  readonly configuration: TrafficConfiguration | undefined;
}

/** What the store holds of a request that crashes endpoints. */
export const storedCrashRecordSchema = z.object({
  fingerprint: z.string(),
  evidence: z
    .array(
      z.object({
        endpoint: z.string(),
        lifetime: z.number(),
        weight: z.number().min(0).max(1),
        /** Host of the daemon that saw the crash. */
        source: z.string(),
        /** Epoch milliseconds. */
        crashedAt: z.number(),
      }),
    )
    .min(1),
});

export type StoredCrashRecord = z.infer<typeof storedCrashRecordSchema>;

/** The stored records of crashing requests; the revision is that of their entry, 0 when there is none. */
export interface VersionedCrashRecords extends StorePosition {
  readonly records: readonly StoredCrashRecord[];
}

/** Access to the platform's store; calls throw a `FailureError` when the store is unavailable or rejects them. */
export interface DirectorySource {
  readEndpoints(
    signal: AbortSignal,
  ): Promise<StorePosition & { readonly endpoints: readonly Endpoint[] }>;
  /**
   * Waits for changes after a revision; throws `StoreHistoryLost` when the store has compacted them. If the changes are of
   * another era than the revision, others may be missing.
   */
  watchEndpoints(
    after: number,
    waitMilliseconds: number,
    signal: AbortSignal,
  ): Promise<EndpointChanges>;
  readConfiguration(signal: AbortSignal): Promise<VersionedConfiguration>;
  /** Waits for a change of the configuration after a revision; throws `StoreHistoryLost` like `watchEndpoints`. */
  watchConfiguration(
    after: number,
    waitMilliseconds: number,
    signal: AbortSignal,
  ): Promise<VersionedConfiguration>;
  /** Reads the registered daemons; a list that may be some seconds old costs the store less. */
  readMembers(
    options: { readonly allowStale: boolean },
    signal: AbortSignal,
  ): Promise<readonly Member[]>;
  /** Registers a daemon. */
  writeMember(member: Member, signal: AbortSignal): Promise<void>;
  readCrashRecords(signal: AbortSignal): Promise<VersionedCrashRecords>;
  /**
   * Replaces the records of a position; throws `StoreConditionFailed` when they have changed since, or may have, because the
   * store has begun a new era.
   */
  writeCrashRecords(
    records: readonly StoredCrashRecord[],
    expected: StorePosition,
    signal: AbortSignal,
  ): Promise<void>;
}
