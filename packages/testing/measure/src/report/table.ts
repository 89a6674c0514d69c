/**
 * Tables of a report: a row for each quantity, a column for the product and each baseline.
 */
import { parseFigureName, subjects, WITHOUT_SUBJECT } from './figure-name.js';
import type { MeasurementRun } from './input.js';

/** One quantity. */
export interface TableRow {
  readonly quantity: string;
  readonly unit: string;
  /** The figures of all runs by subject. */
  readonly values: Map<string, number[]>;
}

/** All runs of one measurement. */
export interface MeasurementTable {
  readonly name: string;
  readonly runs: readonly MeasurementRun[];
  /** Subjects that occur, in the order of columns. */
  readonly columns: readonly string[];
  readonly rows: readonly TableRow[];
}

const columnOrder = [...new Set([...subjects.map(({ label }) => label), WITHOUT_SUBJECT])];

function createTable(name: string, runs: readonly MeasurementRun[]): MeasurementTable {
  const rows = new Map<string, TableRow>();
  const occurring = new Set<string>();
  for (const { figures } of runs) {
    for (const [figure, value] of Object.entries(figures)) {
      const { subject, quantity, unit } = parseFigureName(figure);
      const key = `${quantity} ${unit}`;
      const row = rows.get(key) ?? { quantity, unit, values: new Map<string, number[]>() };
      rows.set(key, row);
      row.values.set(subject, [...(row.values.get(subject) ?? []), value]);
      occurring.add(subject);
    }
  }
  const columns = columnOrder.filter((label) => occurring.has(label));
  return { name, runs, columns, rows: [...rows.values()] };
}

/** Returns a table for each measurement, ordered by name; its runs are ordered by seed. */
export function createTables(runs: readonly MeasurementRun[]): MeasurementTable[] {
  const names = [...new Set(runs.map(({ name }) => name))].sort();
  return names.map((name) => {
    const own = runs.filter((run) => run.name === name);
    return createTable(
      name,
      own.sort((left, right) => left.seed - right.seed),
    );
  });
}

/** Returns the median; of an even number of values, the lower one of the middle. */
export function findMedian(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? Number.NaN;
}

/** Formats the figures of a cell: one value, or the median with the lowest and the highest. */
export function formatCell(values: readonly number[] | undefined): string {
  if (values === undefined) {
    return '';
  }
  const median = String(findMedian(values));
  return values.length === 1
    ? median
    : `${median} (${Math.min(...values)} to ${Math.max(...values)})`;
}
