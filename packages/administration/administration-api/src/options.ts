/**
 * The options of the administration API: the data and functions that the daemon provides.
 */
import type * as model from '@dogwoodstall/model';
import type * as observability from '@dogwoodstall/observability';

/** The active configuration of one availability zone. */
export interface ZoneStatus {
  readonly zone: string;
  /** The highest revision that every live daemon of the zone has applied. */
  readonly revisionInForce: number;
  readonly members: number;
  /** Daemons whose revision is older than the accepted one. */
  readonly lagging: readonly { readonly name: string; readonly revision: number }[];
}

/** The accepted revision and the active revision of each zone. */
export interface FleetStatus {
  readonly acceptedRevision: number;
  readonly zones: readonly ZoneStatus[];
  /**
   * Time since the store last confirmed the accepted revision; undefined when it has not since the
   * start.
   */
  readonly storeKnowledgeAgeMilliseconds: number | undefined;
}

/** The state of one daemon: endpoints, health, evidence, ejections, drains and members. */
export type DaemonStatus = Readonly<Record<string, unknown>>;

/** The decisions about one request. */
export interface RequestExplanation {
  readonly requestId: string;
  /** The service of the request; its organisation may read the explanation. */
  readonly service: string;
  /** The decisions, oldest first. */
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
  /** 0 lets the operating system choose a free port. */
  readonly port: number;
  /**
   * Reads the TLS credentials at the start and on each `reloadTls`; without it, the API uses plain
   * HTTP.
   */
  readonly readCredentials?: (() => Promise<Credentials>) | undefined;
  /** Hexadecimal SHA-256 digests of the operators' tokens. */
  readonly operatorTokenDigests: readonly string[];
  readonly log: observability.ComponentLogger;
  /** Name of the daemon, included in explanations. */
  readonly daemonName: string;
  /** Returns the active configuration of this daemon; undefined before the first one is known. */
  readonly currentConfiguration: () => model.Configuration | undefined;
  /**
   * Commits a draft as the revision after its base. Throws `ConfigurationConflict` when that
   * revision already exists, and other failures when the store fails.
   */
  readonly commit: (draft: model.ChangeDraft) => Promise<model.Change>;
  /** Distributes an accepted change to peers and applies it in this daemon. */
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
