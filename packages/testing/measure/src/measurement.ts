/**
 * What a measurement is, and how measurements are found: each file in `measurements/` exports one as
 * `measurement`.
 */
import * as fileSystem from 'node:fs/promises';

/** What a measurement gets. */
export interface MeasurementContext {
  readonly seed: number;
  /** Time for the measurement itself, without the start and the end of processes. */
  readonly durationMilliseconds: number;
  /** Prints progress or a report. */
  readonly print: (text: string) => void;
  /** Makes the program end with a failure after the figures are printed. */
  readonly fail: (reason: string) => void;
  /** Name of a deliberately broken variant that the run must catch. */
  readonly broken?: string | undefined;
  /** Whether a failed run looks for a shorter fault schedule that fails as well. */
  readonly shrink?: boolean;
}

/** Figures by name, in camelCase with whole words and the unit, such as `p99Milliseconds`. */
export type Figures = Readonly<Record<string, number>>;

/** One named measurement. */
export interface Measurement {
  readonly name: string;
  /** One sentence for `list`. */
  readonly summary: string;
  /** Duration without the option; 30 s when it is left out. */
  readonly defaultSeconds?: number;
  run(context: MeasurementContext): Promise<Figures>;
}

const FIGURE_DIGITS = 1000;

/** Rounds a figure to three decimal places. */
export function roundFigure(value: number): number {
  return Math.round(value * FIGURE_DIGITS) / FIGURE_DIGITS;
}

/** Loads every measurement, ordered by name. */
export async function loadMeasurements(): Promise<Measurement[]> {
  const directory = new URL('./measurements/', import.meta.url);
  const measurements: Measurement[] = [];
  for (const file of await fileSystem.readdir(directory)) {
    if (file.endsWith('.js')) {
      const loaded = (await import(new URL(file, directory).href)) as { measurement?: Measurement };
      if (loaded.measurement !== undefined) {
        measurements.push(loaded.measurement);
      }
    }
  }
  return measurements.sort((left, right) => (left.name < right.name ? -1 : 1));
}
