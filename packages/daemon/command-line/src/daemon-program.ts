/**
 * The entry point of the package daemon, as the command line calls it.
 */
import * as daemon from '@dogwoodstall/daemon';
import type * as observability from '@dogwoodstall/observability';
import * as results from '@dogwoodstall/results';
import type * as settings from '@dogwoodstall/settings';

/** A daemon that serves. */
export interface RunningDaemon {
  /** Performs a planned stop; resolves when the last request ended. */
  stop(): Promise<void>;
}

/** Starts a daemon; resolves when it serves, and rejects after it closed what it had opened. */
export type StartDaemon = (
  settings: settings.Settings,
  options: { readonly log: observability.ProcessLog },
) => Promise<RunningDaemon>;

function findStartDaemon(): StartDaemon | undefined {
  return (daemon as { readonly startDaemon?: StartDaemon }).startDaemon;
}

/** Starts the daemon of this build; throws `InternalError` when the build has none. */
export const startDaemon: StartDaemon = async (daemonSettings, options) => {
  const start = findStartDaemon();
  if (start === undefined) {
    throw new results.FailureError('InternalError', 'this build exports no startDaemon');
  }
  return start(daemonSettings, options);
};
