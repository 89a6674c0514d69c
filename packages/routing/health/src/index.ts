/**
 * Evidence about endpoints, outlier ejection, the healthy-capacity floor and slow start.
 */
export type { AttemptOutcome, OutcomeKind, ReportedLoad } from './outcome.js';
