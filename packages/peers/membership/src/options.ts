/**
 * The options of membership.
 */
import type * as observability from '@dogwoodstall/observability';
import type * as peerLink from '@dogwoodstall/peer-link';
import type { MembershipLinks } from './prober.js';
import type { ListedVm } from './rejoiner.js';
import type { MembershipTimings } from './timings.js';

/** Options of `Membership`. */
export interface MembershipOptions {
  readonly name: string;
  readonly zone: string;
  readonly region: string;
  /** `IP address:port` of the peer port of this daemon. */
  readonly peerAddress: string;
  readonly links: MembershipLinks;
  /** Peer addresses that are probed while no live member is known. */
  readonly seeds?: readonly string[];
  /** Returns the platform's list of VMs; called in each round. */
  readonly listedVms?: () => readonly ListedVm[];
  /** Called for each message with the update of the sender about itself. */
  readonly onMemberUpdate?: (member: peerLink.MemberUpdate) => void;
  readonly logger?: observability.ComponentLogger;
  readonly timings?: Partial<MembershipTimings>;
  /** Seed of the random choices; derived from the incarnation by default. */
  readonly seed?: number;
}
