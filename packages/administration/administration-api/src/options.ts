/**
 * What the administration API needs from the daemon: plain data and functions.
 */
import type * as model from '@dogwoodstall/model';
import type * as observability from '@dogwoodstall/observability';

/** The configuration in force in one availability zone. */
export interface ZoneStatus {
  readonly zone: string;
  /** The highest revision that every live daemon of the zone has. */
  readonly revisionInForce: number;
  readonly members: number;
  /** Daemons that have an older revision than the accepted one. */
  readonly lagging: readonly { readonly name: string; readonly revision: number }[];
}

/** The accepted revision and where it is in force. */
export interface FleetStatus {
  readonly acceptedRevision: number;
  readonly zones: readonly ZoneStatus[];
  /** Time since the store last confirmed the accepted revision; undefined: never since the start. */
  readonly storeKnowledgeAgeMilliseconds: number | undefined;
}

/** What one daemon knows: endpoints, health, evidence, ejections, drains and members. */
export type DaemonStatus = Readonly<Record<string, unknown>>;

/** The decisions about one request. */
export interface RequestExplanation {
  readonly requestId: string;
  /** Decides which organisation may read the explanation. */
  readonly service: string;
  /** One line for each decision, oldest first. */
  readonly decisions: readonly Readonly<Record<string, unknown>>[];
}

/** A certificate chain and its key in PEM. */
export interface Credentials {
  readonly certificate: string | Buffer;
  readonly key: string | Buffer;
}

/** Options of `AdministrationApi`. */
export interface AdministrationOptions {
  /** IP address to listen on. */
  readonly host: string;
  /** 0 lets the system choose. */
  readonly port: number;
  /** Reads the TLS credentials, at the start and at each `reloadTls`; plain HTTP without it. */
  readonly readCredentials?: (() => Promise<Credentials>) | undefined;
  /** SHA-256 digests in hexadecimal of the operators' tokens. */
  readonly operatorTokenDigests: readonly string[];
  readonly log: observability.ComponentLogger;
  /** Name of the daemon, which explanations carry. */
  readonly daemonName: string;
  /** The configuration in force in this daemon; undefined before the first one is known. */
  readonly currentConfiguration: () => model.Configuration | undefined;
  /**
   * Commits a draft as the revision after its base. Throws `ConfigurationConflict` when that
   * revision exists, and other failures of the store.
   */
  readonly commit: (draft: model.ChangeDraft) => Promise<model.Change>;
  /** Spreads an accepted change to peers and applies it here. */
  readonly publish: (change: model.Change) => void;
  /** Reads accepted changes in order, starting with revision `after` + 1. */
  readonly readChanges: (after: number, limit: number) => Promise<readonly model.Change[]>;
  /** Reads the configuration at a revision; undefined when it is no longer kept. */
  readonly readRevision: (revision: number) => Promise<model.Configuration | undefined>;
  readonly fleetStatus: () => FleetStatus | Promise<FleetStatus>;
  readonly daemonStatus: () => DaemonStatus | Promise<DaemonStatus>;
  readonly explain: (
    requestId: string,
  ) => RequestExplanation | undefined | Promise<RequestExplanation | undefined>;
}
