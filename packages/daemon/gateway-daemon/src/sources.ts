/**
 * What a daemon needs of the platform's store.
 */
import type { Endpoint, TrafficConfiguration } from '@dogwoodstall/traffic';
import type { Member } from './member.js';

/** One change of the endpoints. */
export type EndpointChange =
  | { readonly kind: 'put'; readonly endpoint: Endpoint }
  | { readonly kind: 'removed'; readonly id: string };

/** Changes up to a revision of the store. */
export interface EndpointChanges {
  readonly changes: readonly EndpointChange[];
  readonly revision: number;
}

/** The configuration, undefined when the store has none. */
export interface ConfigurationReading {
  readonly configuration: TrafficConfiguration | undefined;
  readonly revision: number;
}

/** The platform's store; calls throw a `FailureError` when the store does not answer as wanted. */
export interface DirectorySource {
  readEndpoints(signal: AbortSignal): Promise<{
    readonly endpoints: readonly Endpoint[];
    readonly revision: number;
  }>;
  /** Waits for changes after a revision; throws `StoreHistoryLost` when they are no longer known. */
  watchEndpoints(
    after: number,
    waitMilliseconds: number,
    signal: AbortSignal,
  ): Promise<EndpointChanges>;
  readConfiguration(signal: AbortSignal): Promise<ConfigurationReading>;
  /** Waits for a configuration after a revision; throws `StoreHistoryLost`. */
  watchConfiguration(
    after: number,
    waitMilliseconds: number,
    signal: AbortSignal,
  ): Promise<ConfigurationReading>;
  /** Reads the daemons; a list that may be some seconds old costs the store less. */
  readMembers(
    options: { readonly allowStale: boolean },
    signal: AbortSignal,
  ): Promise<readonly Member[]>;
  writeMember(member: Member, signal: AbortSignal): Promise<void>;
}
