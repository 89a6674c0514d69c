/**
 * The interface through which a daemon reads the platform's key-value store.
 */
import type { Endpoint, TrafficConfiguration } from '@dogwoodstall/traffic';
import type { Member } from './member.js';

/** One change of the endpoints. */
export type EndpointChange =
  | { readonly kind: 'put'; readonly endpoint: Endpoint }
  | { readonly kind: 'removed'; readonly id: string };

/** Changes of endpoints up to a revision of the store. */
export interface EndpointChanges {
  readonly changes: readonly EndpointChange[];
  readonly revision: number;
}

/** The configuration at a revision of the store, undefined when none is stored. */
export interface VersionedConfiguration {
  readonly configuration: TrafficConfiguration | undefined;
  readonly revision: number;
}

/** Access to the platform's store; calls throw a `FailureError` when the store is unavailable or rejects them. */
export interface DirectorySource {
  readEndpoints(signal: AbortSignal): Promise<{
    readonly endpoints: readonly Endpoint[];
    readonly revision: number;
  }>;
  /** Waits for changes after a revision; throws `StoreHistoryLost` when the store has compacted them. */
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
}
