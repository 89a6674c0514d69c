/**
 * Self-contained HTML report of a load, with inline SVG plots.
 */
import type { LoadResult } from '../load.js';
import { formatTextReport, reportedKinds } from './text-report.js';

const WIDTH = 800;
const HEIGHT = 240;
const MARGIN = 50;

/** One line of a plot. */
export interface PlotSeries {
  readonly name: string;
  readonly color: string;
  /** Pairs of x and y; points whose y is NaN are skipped without a gap in the line. */
  readonly points: readonly (readonly [number, number])[];
}

const colors: Readonly<Record<string, string>> = {
  ok: '#2b7a3d',
  late: '#d08a00',
  failure: '#b3261e',
  cut: '#7a1fa2',
  foreign: '#000000',
  'no-answer': '#1f5fa8',
  'gave-up': '#777777',
};

function escapeHtml(text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;');
}

function formatLine(
  series: PlotSeries,
  scale: (point: readonly [number, number]) => string,
): string {
  const points = series.points.filter(([, value]) => !Number.isNaN(value)).map(scale);
  return `<polyline fill="none" stroke="${series.color}" points="${points.join(' ')}"/>`;
}

/** Draws a line plot over time as SVG; x values are milliseconds. */
export function drawPlot(title: string, unit: string, allSeries: readonly PlotSeries[]): string {
  const all = allSeries.flatMap((series) => series.points);
  const values = all.map(([, value]) => value).filter((value) => !Number.isNaN(value));
  const maximumX = Math.max(1, ...all.map(([x]) => x));
  const maximumY = Math.max(1, ...values);
  const scale = ([x, value]: readonly [number, number]): string => {
    const left = MARGIN + (x / maximumX) * (WIDTH - 2 * MARGIN);
    const top = HEIGHT - MARGIN - (value / maximumY) * (HEIGHT - 2 * MARGIN);
    return `${left.toFixed(1)},${top.toFixed(1)}`;
  };
  const legend = allSeries.map(
    (series, index) =>
      `<text x="${MARGIN + index * 100}" y="20" fill="${series.color}">${escapeHtml(series.name)}</text>`,
  );
  return [
    `<h2>${escapeHtml(title)}</h2>`,
    `<svg viewBox="0 0 ${WIDTH} ${HEIGHT}" width="${WIDTH}" font-size="12">`,
    `<path d="M${MARGIN} ${MARGIN}V${HEIGHT - MARGIN}H${WIDTH - MARGIN}" fill="none" stroke="#888"/>`,
    `<text x="2" y="${MARGIN}">${maximumY.toFixed(0)} ${escapeHtml(unit)}</text>`,
    `<text x="${WIDTH - MARGIN - 40}" y="${HEIGHT - MARGIN + 18}">${(maximumX / 1000).toFixed(0)} s</text>`,
    ...legend,
    ...allSeries.map((series) => formatLine(series, scale)),
    '</svg>',
  ].join('\n');
}

function createOutcomeSeries(result: LoadResult): PlotSeries[] {
  const perSecond = 1000 / result.summary.intervalMilliseconds;
  const occurring = reportedKinds.filter((kind) => result.summary.total.count(kind) > 0);
  return occurring.map((kind) => ({
    name: kind,
    color: colors[kind] ?? '#000000',
    points: result.summary.intervals.map(
      ({ startMilliseconds, summary }) =>
        [startMilliseconds, summary.count(kind) * perSecond] as const,
    ),
  }));
}

function createLatencySeries(result: LoadResult): PlotSeries[] {
  const percentiles = [
    { name: 'p50', color: '#2b7a3d' },
    { name: 'p99', color: '#b3261e' },
  ] as const;
  return percentiles.map(({ name, color }) => ({
    name,
    color,
    points: result.summary.intervals.map(
      ({ startMilliseconds, summary }) => [startMilliseconds, summary.latency[name]] as const,
    ),
  }));
}

/** Formats a report as an HTML page without external resources. */
export function formatHtmlReport(title: string, result: LoadResult): string {
  return [
    '<!doctype html><html lang="en"><head><meta charset="utf-8">',
    `<title>${escapeHtml(title)}</title></head><body style="font-family:sans-serif">`,
    `<h1>${escapeHtml(title)}</h1>`,
    drawPlot('Results by intended start', 'requests/s', createOutcomeSeries(result)),
    drawPlot('Latency by intended start', 'ms', createLatencySeries(result)),
    `<pre>${escapeHtml(formatTextReport(title, result))}</pre>`,
    '</body></html>',
    '',
  ].join('\n');
}
