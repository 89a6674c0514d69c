/**
 * The answers of the administration API, as JSON.
 */
import type * as model from '@dogwoodstall/model';

/** An accepted change. */
export interface SubmissionResult {
  readonly id: string;
  readonly revision: number;
  /** True when an earlier submission with the same id was the one that was accepted. */
  readonly repeated: boolean;
}

/** One entity before and after; null where it does not exist. */
export interface EntityDifference {
  readonly kind: model.EntityKind;
  readonly name: string;
  readonly before?: Readonly<Record<string, unknown>> | null;
  readonly after: Readonly<Record<string, unknown>> | null;
}

/** What a draft would change. */
export interface Preview {
  /** The revision that the draft was compared with. */
  readonly revision: number;
  readonly difference: readonly EntityDifference[];
  readonly problems: readonly model.ConfigurationProblem[];
}

/** The entities of a kind at one revision. */
export interface EntityPage<Entity> {
  readonly revision: number;
  readonly entities: readonly Entity[];
}

/** Accepted changes. */
export interface HistoryPage {
  readonly changes: readonly model.Change[];
  /** The revision to continue after. */
  readonly lastRevision: number;
}

/** The decisions about one request that one daemon keeps. */
export interface Explanation {
  readonly requestId: string;
  readonly service: string;
  readonly daemon: string;
  readonly decisions: readonly Readonly<Record<string, unknown>>[];
  /** Daemons that the request was sent to and that keep further decisions. */
  readonly askNext: readonly string[];
}

/** The accepted revision and where it is in force; members only for operators. */
export interface FleetStatus {
  readonly acceptedRevision: number;
  readonly storeKnowledgeAgeMilliseconds?: number;
  readonly zones: readonly {
    readonly zone: string;
    readonly revisionInForce: number;
    readonly members?: number;
    readonly lagging?: readonly { readonly name: string; readonly revision: number }[];
  }[];
}
