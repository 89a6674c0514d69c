/**
 * Last line of defence against errors that no code handles. Node.js ends the process at such an error, and with it the
 * requests of all callers; here it is recorded, and the process goes on.
 */
import type { SideTaskErrors } from './side-task-errors.js';

/** The part of `process` that emits errors. */
export interface ErrorSource {
  on(
    event: 'uncaughtException' | 'unhandledRejection',
    listener: (error: unknown) => void,
  ): unknown;
  readonly stderr: {
    on(event: 'error', listener: (error: Error) => void): unknown;
  };
}

/** Records unhandled errors of a process, and those of its standard error, for as long as it runs. */
export function recordUnhandledErrors(source: ErrorSource, errors: SideTaskErrors): void {
  source.on('uncaughtException', (error) => errors.record('unhandled-exception', error));
  source.on('unhandledRejection', (error) => errors.record('unhandled-rejection', error));
  // Libraries and Node.js itself write warnings to it.
  source.stderr.on('error', (error) => errors.record('standard-error', error));
}
