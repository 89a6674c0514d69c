/**
 * The interface of measurements and their discovery: each file in `measurements/` exports one as
 * `measurement`.
 */
import * as fileSystem from 'node:fs/promises';

/** Parameters and callbacks that `Measurement.run` receives. */
export interface MeasurementContext {
  readonly seed: number;
  /** Duration of the measurement itself, without the start and the stop of processes. */
  readonly durationMilliseconds: number;
  /** Prints progress or a report. */
  readonly print: (text: string) => void;
  /** Reports a failure, so that the program exits with code 1 after it has printed the figures. */
  readonly fail: (reason: string) => void;
  /** Name of a deliberately broken variant whose fault the run must detect. */
  readonly broken?: string | undefined;
  /** Whether a failed run searches for a shorter fault schedule that fails as well. */
  readonly shrink?: boolean;
}

/** Figures by name, in camel case with unabbreviated words and the unit, such as `p99Milliseconds`. */
export type Figures = Readonly<Record<string, number>>;

/** One named measurement. */
export interface Measurement {
  readonly name: string;
  /** One-line description that the `list` command prints. */
  readonly summary: string;
  /** Duration if the `--duration` option is absent; 30 s by default. */
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
