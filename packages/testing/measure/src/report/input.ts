/**
 * Reads the input of a report: files with the output of measurements, whose JSON lines have the figures.
 */
import * as fileSystem from 'node:fs/promises';
import * as path from 'node:path';
import * as results from '@dogwoodstall/results';
import type { Figures } from '../measurement.js';

/** One run of a measurement. */
export interface MeasurementRun {
  readonly name: string;
  readonly seed: number;
  /** Undefined if the file has the JSON line without the line that announces the run. */
  readonly durationSeconds: number | undefined;
  readonly figures: Figures;
}

const RUN_ANNOUNCEMENT = /^measurement (\S+), seed (-?\d+), ([\d.]+) s$/;

function isFigures(value: unknown): value is Figures {
  return (
    typeof value === 'object' &&
    value !== null &&
    Object.values(value).every((figure) => typeof figure === 'number')
  );
}

function parseRun(line: string): Omit<MeasurementRun, 'durationSeconds'> | undefined {
  let value: unknown;
  try {
    value = JSON.parse(line);
  } catch {
    // A line of progress, or a truncated line.
    return undefined;
  }
  const { name, seed, figures } = (value ?? {}) as Partial<Record<string, unknown>>;
  if (typeof name !== 'string' || typeof seed !== 'number' || !isFigures(figures)) {
    return undefined;
  }
  return { name, seed, figures };
}

function parseFile(text: string): MeasurementRun[] {
  const runs: MeasurementRun[] = [];
  const durations = new Map<string, number>();
  for (const line of text.split('\n')) {
    const announced = RUN_ANNOUNCEMENT.exec(line.trim());
    if (announced !== null) {
      durations.set(`${announced[1]} ${announced[2]}`, Number(announced[3]));
    }
    const run = parseRun(line);
    if (run !== undefined) {
      runs.push({ ...run, durationSeconds: durations.get(`${run.name} ${run.seed}`) });
    }
  }
  return runs;
}

/** Reads all files of a directory; throws `MeasurementUnknown` if none contains a measurement. */
export async function readRuns(directory: string): Promise<MeasurementRun[]> {
  const runs: MeasurementRun[] = [];
  try {
    for (const fileName of (await fileSystem.readdir(directory)).sort()) {
      runs.push(...parseFile(await fileSystem.readFile(path.join(directory, fileName), 'utf8')));
    }
  } catch (cause) {
    const message = `${directory} could not be read`;
    throw new results.FailureError('MeasurementUnknown', message, { cause });
  }
  if (runs.length === 0) {
    throw new results.FailureError('MeasurementUnknown', `${directory} has no measurement`);
  }
  return runs;
}

/** Returns the command that repeats a run. */
export function formatCommand({ name, seed, durationSeconds }: MeasurementRun): string {
  const duration = durationSeconds === undefined ? '' : ` --duration ${durationSeconds}`;
  return `npm run --silent measure -- ${name} --seed ${seed}${duration}`;
}
