/**
 * Open-loop load generator whose latency histograms are free of coordinated omission.
 */
export {
  type ArrivalOptions,
  type RatePoint,
  type RateProfile,
  createFlatProfile,
  createRampProfile,
  generateArrivals,
  rateAt,
} from './arrivals.js';
export { type ResponseVerifier, type VerifierFactory } from './attempt.js';
export { type LoadOptions, type LoadResult, runLoad } from './load.js';
export {
  type AttemptObservation,
  type AttemptResult,
  type KeyRecord,
  type KeyObservation,
  type OutcomeKind,
  type RequestOutcome,
  type ReportedExecution,
} from './outcome.js';
export { type RequestClass } from './request-class.js';
export { type LatencySummary, Summary } from './summary.js';
export { type IntervalSummary, LoadSummary } from './load-summary.js';
export {
  type Target,
  type TargetChooser,
  chooseLeastOutstanding,
  chooseRandomly,
  createRoundRobin,
} from './target.js';
export { formatTextReport } from './report/text-report.js';
export { type PlotSeries, drawPlot, formatHtmlReport } from './report/html-report.js';
