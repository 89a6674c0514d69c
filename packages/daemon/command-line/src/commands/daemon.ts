/**
 * `dogwoodstall daemon` and `dogwoodstall check-settings`.
 */
import * as cmd from 'cmd-ts';
import * as daemon from '@dogwoodstall/daemon';
import * as observability from '@dogwoodstall/observability';
import * as results from '@dogwoodstall/results';
import * as settings from '@dogwoodstall/settings';
import { printData, printLine } from '../output.js';
import { jsonFlag } from '../options.js';

const settingsOption = cmd.option({
  long: 'settings',
  env: 'DOGWOODSTALL_SETTINGS',
  description: 'TOML file with the settings of the daemon',
});

// The first signal begins the planned stop; later ones change nothing, because a planned stop
// interrupts no request.
async function waitForStopSignal(): Promise<NodeJS.Signals> {
  return new Promise((resolve) => {
    for (const signal of ['SIGTERM', 'SIGINT'] as const) {
      process.on(signal, () => resolve(signal));
    }
  });
}

// SIGHUP reads certificates and keys again; those in use stay in use when a file is invalid.
function reloadOnSignal(running: daemon.Daemon, logger: observability.ComponentLogger): void {
  process.on('SIGHUP', () => {
    running.reload().catch((error: unknown) => {
      const { kind, message } = results.toFailure(error);
      logger.error('certificates and keys were not read again', { result: kind, reason: message });
    });
  });
}

async function runDaemon(file: string): Promise<void> {
  const loaded = await settings.loadSettings(file);
  const log = new observability.ProcessLog({
    ...loaded.log,
    fields: { daemon: loaded.name, zone: loaded.zone },
  });
  const stopSignal = waitForStopSignal();
  const running = await daemon.startDaemon(loaded, { log });
  reloadOnSignal(running, log.getLogger('daemon'));
  const signal = await stopSignal;
  log.getLogger('daemon').info('planned stop begins', { signal });
  await running.stop();
}

/** Runs one daemon until SIGTERM. */
export const daemonCommand = cmd.command({
  name: 'daemon',
  description: 'Run one daemon until SIGTERM, which begins a planned stop',
  args: { file: settingsOption },
  handler: async ({ file }) => runDaemon(file),
});

/** Checks a settings file without starting anything. */
export const checkSettingsCommand = cmd.command({
  name: 'check-settings',
  description: 'Check a settings file and report every problem with file, line and key',
  args: {
    file: cmd.positional({ displayName: 'FILE', description: 'TOML file with the settings' }),
    json: jsonFlag,
  },
  handler: async ({ file, json }) => {
    const loaded = await settings.loadSettings(file);
    if (json) {
      printData(loaded);
    } else {
      printLine(
        `${file}: the settings of daemon "${loaded.name}" in zone "${loaded.zone}" are valid`,
      );
    }
  },
});
