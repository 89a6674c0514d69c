/**
 * Plain-text report of a load.
 */
import type { LoadResult } from '../load.js';
import type { OutcomeKind } from '../outcome.js';
import type { Summary } from '../summary.js';

/** Kinds of outcomes in the order of the report columns. */
export const reportedKinds: readonly OutcomeKind[] = [
  'ok',
  'late',
  'failure',
  'cut',
  'truncated',
  'foreign',
  'no-answer',
  'gave-up',
];

const COLUMN_WIDTH = 10;
const NAME_WIDTH = 18;

/** Formats milliseconds with one decimal; returns "-" for NaN. */
export function formatMilliseconds(milliseconds: number): string {
  return Number.isNaN(milliseconds) ? '-' : milliseconds.toFixed(1);
}

function formatRow(name: string, cells: readonly (string | number)[]): string {
  return (
    name.padEnd(NAME_WIDTH) + cells.map((cell) => String(cell).padStart(COLUMN_WIDTH)).join('')
  );
}

function formatSummary(name: string, summary: Summary): string {
  const { p50, p99, p999, maximum } = summary.latency;
  const counts = reportedKinds.map((kind) => summary.count(kind));
  const latencies = [p50, p99, p999, maximum].map(formatMilliseconds);
  return formatRow(name, [summary.requests, ...counts, ...latencies]);
}

/** Formats a report with rows by class, by failure code and by interval. */
export function formatTextReport(title: string, result: LoadResult): string {
  const header = ['requests', ...reportedKinds, 'p50 ms', 'p99 ms', 'p99.9 ms', 'max ms'];
  const lines = [
    `${title}: seed ${result.seed}, ${result.durationMilliseconds} ms`,
    formatRow('class', header),
  ];
  for (const [name, summary] of result.summary.classes) {
    lines.push(formatSummary(name, summary));
  }
  lines.push(formatSummary('all', result.summary.total), '');
  for (const [code, count] of result.summary.total.failuresByCode) {
    lines.push(`failure ${code}: ${count}`);
  }
  lines.push(formatRow('from ms', header));
  for (const { startMilliseconds, summary } of result.summary.intervals) {
    lines.push(formatSummary(String(startMilliseconds), summary));
  }
  const delay = formatMilliseconds(result.largestStartDelayMilliseconds);
  lines.push(`largest start delay of the load generator: ${delay} ms`, '');
  return lines.join('\n');
}
