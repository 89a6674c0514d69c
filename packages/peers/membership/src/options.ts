/**
 * What membership is created with.
 */
import type * as observability from '@dogwoodstall/observability';
import type * as peerLink from '@dogwoodstall/peer-link';
import type { MembershipLinks } from './prober.js';
import type { ListedVm } from './rejoiner.js';
import type { MembershipTimings } from './timings.js';

/** Options of membership. */
export interface MembershipOptions {
  readonly name: string;
  readonly zone: string;
  readonly region: string;
  /** `IP address:port` at which other daemons reach the peer port. */
  readonly peerAddress: string;
  readonly links: MembershipLinks;
  /** Peer addresses that are asked while no member is known. */
  readonly seeds?: readonly string[];
  /** The platform's list of VMs, read at each round. */
  readonly listedVms?: () => readonly ListedVm[];
  /** Called with what a member says about itself in each message. */
  readonly onMemberUpdate?: (member: peerLink.MemberUpdate) => void;
  readonly logger?: observability.PartLogger;
  readonly timings?: Partial<MembershipTimings>;
  /** Seed of the random choices; taken from the incarnation by default. */
  readonly seed?: number;
}
