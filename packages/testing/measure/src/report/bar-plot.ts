/**
 * Draws bar plots as SVG: a group of bars for each quantity, with one bar for each subject.
 */
import { findMedian, type MeasurementTable, type TableRow } from './table.js';

const WIDTH = 860;
const LABEL_WIDTH = 300;
const VALUE_WIDTH = 90;
const BAR_HEIGHT = 14;
const GROUP_GAP = 10;
const LEGEND_HEIGHT = 28;
const LEGEND_STEP = 130;

const colors = ['#1f5fa8', '#b3261e', '#2b7a3d', '#d08a00', '#7a1fa2', '#777777', '#008080'];

/** Escapes text for HTML and SVG. */
export function escapeHtml(text: string): string {
  return text
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;')
    .replaceAll('"', '&quot;');
}

function drawText(x: number, y: number, text: string, attributes = ''): string {
  return `<text x="${x}" y="${y}"${attributes}>${escapeHtml(text)}</text>`;
}

function drawGroup(
  row: TableRow,
  columns: readonly string[],
  options: { readonly top: number; readonly maximum: number },
): string {
  const { top, maximum } = options;
  const parts = [drawText(0, top + BAR_HEIGHT - 3, row.quantity)];
  for (const [index, column] of columns.entries()) {
    const values = row.values.get(column);
    if (values !== undefined) {
      const value = findMedian(values);
      const share = maximum === 0 ? 0 : Math.max(0, value) / maximum;
      const width = (share * (WIDTH - LABEL_WIDTH - VALUE_WIDTH)).toFixed(1);
      const y = top + index * BAR_HEIGHT;
      const color = colors[index % colors.length] ?? '#000000';
      const box = `x="${LABEL_WIDTH}" y="${y}" width="${width}" height="${BAR_HEIGHT - 2}"`;
      parts.push(`<rect ${box} fill="${color}"/>`);
      parts.push(drawText(LABEL_WIDTH + Number(width) + 4, y + BAR_HEIGHT - 4, String(value)));
    }
  }
  return parts.join('');
}

function drawLegend(columns: readonly string[]): string {
  const entries = columns.map((column, index) => {
    const color = colors[index % colors.length] ?? '#000000';
    return drawText(index * LEGEND_STEP, BAR_HEIGHT, column, ` fill="${color}"`);
  });
  return entries.join('');
}

function drawPlot(rows: readonly TableRow[], columns: readonly string[]): string {
  const groupHeight = columns.length * BAR_HEIGHT + GROUP_GAP;
  const medians = rows.flatMap(({ values }) => [...values.values()].map(findMedian));
  const maximum = Math.max(0, ...medians);
  const groups = rows.map((row, index) =>
    drawGroup(row, columns, { top: LEGEND_HEIGHT + index * groupHeight, maximum }),
  );
  const height = LEGEND_HEIGHT + rows.length * groupHeight;
  return [
    `<svg viewBox="0 0 ${WIDTH} ${height}" width="${WIDTH}" font-size="12" role="img">`,
    drawLegend(columns),
    ...groups,
    '</svg>',
  ].join('\n');
}

/** Draws a plot for each unit, of the quantities for which at least two subjects have a figure. */
export function drawPlots(table: MeasurementTable): { unit: string; svg: string }[] {
  const rowsByUnit = new Map<string, TableRow[]>();
  for (const row of table.rows) {
    if (row.values.size > 1) {
      rowsByUnit.set(row.unit, [...(rowsByUnit.get(row.unit) ?? []), row]);
    }
  }
  return [...rowsByUnit].map(([unit, rows]) => {
    const columns = table.columns.filter((column) => rows.some(({ values }) => values.has(column)));
    return { unit, svg: drawPlot(rows, columns) };
  });
}
