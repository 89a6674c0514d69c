/**
 * The messages between daemons about usage limits.
 */

/** What a daemon says when it pledges its part. */
export interface PledgeContent {
  /** Whether no earlier process of the daemon can have a pledge in force at another keeper. */
  readonly certain: boolean;
  /** Whether the daemon counts pledges of others itself. */
  readonly keeping: boolean;
  /** Whether its part has not been moved to another keeper in the last window. */
  readonly rested: boolean;
}

/** A daemon renews its pledge, takes it back, or only asks whether the receiver responds. */
export type PledgePurpose = 'renew' | 'release' | 'probe';

export type UsageMessage =
  | {
      readonly kind: 'borrow';
      readonly sequence: number;
      readonly organisation: string;
      readonly wanted: number;
      /** Undefined if the daemon does not pledge to the receiver. */
      readonly pledge: PledgeContent | undefined;
    }
  | {
      readonly kind: 'lend';
      readonly sequence: number;
      readonly organisation: string;
      readonly tokens: number;
      /** Milliseconds until there is a token; 0 if any was lent. */
      readonly retryAfter: number;
      /** Whether the keeper has begun so recently that its buckets may be empty for that reason. */
      readonly settling: boolean;
      /** Fraction of the limits that the keeper may lend. */
      readonly share: number;
    }
  | {
      readonly kind: 'pledge';
      readonly sequence: number;
      readonly purpose: PledgePurpose;
      readonly pledge: PledgeContent | undefined;
    }
  | {
      readonly kind: 'pledged';
      readonly sequence: number;
      readonly purpose: PledgePurpose;
      /** Whether the daemon keeps nothing for others, so that it does not count the pledge. */
      readonly declined: boolean;
      /** Whether other daemons pledge to it. */
      readonly keeping: boolean;
      readonly share: number;
    };
