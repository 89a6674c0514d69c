/**
 * The numbered findings of the check of a configuration.
 */

/** Numbers and severities of the findings; they stay the same in later versions. */
export const findingKinds = {
  NameRepeated: { number: 101, severity: 'error' },
  RouteShadowed: { number: 102, severity: 'error' },
  HostNeverMatches: { number: 103, severity: 'error' },
  PrefixNeverMatches: { number: 104, severity: 'error' },
  PrefixWithinSegment: { number: 105, severity: 'warning' },
  ServiceUnknown: { number: 201, severity: 'error' },
  WeightsZero: { number: 202, severity: 'error' },
  DestinationRepeated: { number: 203, severity: 'warning' },
  ServiceUnused: { number: 204, severity: 'warning' },
  TimeoutBelowTarget: { number: 301, severity: 'error' },
  AttemptsBeyondTimeout: { number: 302, severity: 'warning' },
  TokenShared: { number: 401, severity: 'error' },
  OrganisationWithoutToken: { number: 402, severity: 'warning' },
  BurstWithoutRate: { number: 403, severity: 'warning' },
  BurstBelowRate: { number: 404, severity: 'warning' },
  AnonymousWithoutOrganisations: { number: 405, severity: 'warning' },
  NobodyAdmitted: { number: 406, severity: 'error' },
  VersionNotHigher: { number: 501, severity: 'error' },
  FieldUnknown: { number: 502, severity: 'warning' },
} as const;

export type FindingKind = keyof typeof findingKinds;

/** One finding. A configuration with an error should not be sent; a warning may be intended. */
export interface Finding {
  readonly number: number;
  readonly kind: FindingKind;
  readonly severity: 'error' | 'warning';
  /** The entry that it concerns, such as `route/offers`. */
  readonly subject: string;
  readonly message: string;
}

/** Creates a finding of a kind. */
export function createFinding(kind: FindingKind, subject: string, message: string): Finding {
  return { ...findingKinds[kind], kind, subject, message };
}
