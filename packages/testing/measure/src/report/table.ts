/**
 * Tables of a report: a row for each quantity, a column for the product and each baseline.
 */
import { parseFigureName, subjects, WITHOUT_SUBJECT } from './figure-name.js';
import type { MeasurementRun } from './input.js';

/** The values of one quantity. */
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
  /** Labels of the subjects that have figures, in the order of the columns. */
  readonly columns: readonly string[];
  readonly rows: readonly TableRow[];
}

const columnOrder = [...new Set([...subjects.map(({ label }) => label), WITHOUT_SUBJECT])];

function createTable(name: string, runs: readonly MeasurementRun[]): MeasurementTable {
  const rows = new Map<string, TableRow>();
  const subjectsInUse = new Set<string>();
  for (const { figures } of runs) {
    for (const [figure, value] of Object.entries(figures)) {
      const { subject, quantity, unit } = parseFigureName(figure);
      const key = `${quantity} ${unit}`;
      const row = rows.get(key) ?? { quantity, unit, values: new Map<string, number[]>() };
      rows.set(key, row);
      row.values.set(subject, [...(row.values.get(subject) ?? []), value]);
      subjectsInUse.add(subject);
    }
  }
  const columns = columnOrder.filter((label) => subjectsInUse.has(label));
  return { name, runs, columns, rows: [...rows.values()] };
}

/** Returns a table for each measurement, ordered by name, with its runs ordered by seed. */
export function createTables(runs: readonly MeasurementRun[]): MeasurementTable[] {
  const names = [...new Set(runs.map(({ name }) => name))].sort();
  return names.map((name) => {
    const runsOfMeasurement = runs.filter((run) => run.name === name);
    return createTable(
      name,
      runsOfMeasurement.sort((left, right) => left.seed - right.seed),
    );
  });
}

/** Returns the median; for an even number of values, the lower of the two middle ones. */
export function findMedian(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? Number.NaN;
}

/** Formats a cell: a single value, or the median with the lowest and the highest value. */
export function formatCell(values: readonly number[] | undefined): string {
  if (values === undefined) {
    return '';
  }
  const median = String(findMedian(values));
  return values.length === 1
    ? median
    : `${median} (${Math.min(...values)} to ${Math.max(...values)})`;
}
