/**
 * The responses of the administration API, as parsed from JSON.
 */
import type * as model from '@dogwoodstall/model';

/** The id and revision of an accepted change. */
export interface SubmissionResult {
  readonly id: string;
  readonly revision: number;
  /** True when an earlier submission with the same id was accepted and this one changed nothing. */
  readonly repeated: boolean;
}

/** One entity before and after a change; null where it does not exist. */
export interface EntityDifference {
  readonly kind: model.EntityKind;
  readonly name: string;
  readonly before?: Readonly<Record<string, unknown>> | null;
  readonly after: Readonly<Record<string, unknown>> | null;
}

/** The result of previewing a draft. */
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

/** A page of accepted changes. */
export interface HistoryPage {
  readonly changes: readonly model.Change[];
  /** The revision after which the next page starts. */
  readonly lastRevision: number;
}

/** The decisions about one request that one daemon has recorded. */
export interface Explanation {
  readonly requestId: string;
  readonly service: string;
  readonly daemon: string;
  readonly decisions: readonly Readonly<Record<string, unknown>>[];
  /** Daemons to which the request was sent and that have recorded further decisions. */
  readonly askNext: readonly string[];
}

/** The accepted revision and the active revision of each zone; only operators see members. */
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
