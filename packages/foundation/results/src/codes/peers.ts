/**
 * Result codes 7000 to 7999: communication between daemons and membership.
 */
import { defineResult } from '../definition.js';

export const peerResults = {
  PeerUnreachable: defineResult(7001, 503, 'not-applicable', 'A peer daemon could not be reached.'),
  PeerTimeout: defineResult(7002, 504, 'not-applicable', 'A peer daemon did not answer in time.'),
  PeerUnauthenticated: defineResult(
    7003,
    401,
    'not-applicable',
    'A peer presented no valid certificate of the fleet.',
  ),
  PeerMessageInvalid: defineResult(
    7004,
    400,
    'not-applicable',
    'A message between daemons does not fit its schema or limits.',
  ),
  PeerLacksConfiguration: defineResult(
    7005,
    503,
    'not-applicable',
    'Too few peers answered to know the revision in force.',
  ),
} as const;
