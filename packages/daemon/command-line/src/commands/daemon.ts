/**
 * `dogwoodstall daemon` runs a daemon; `dogwoodstall check-settings` checks its settings file.
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

// The first signal starts a graceful shutdown, which lets requests in progress complete. Later
// signals have no effect, so that they do not interrupt it.
async function waitForStopSignal(): Promise<NodeJS.Signals> {
  return new Promise((resolve) => {
    for (const signal of ['SIGTERM', 'SIGINT'] as const) {
      process.on(signal, () => resolve(signal));
    }
  });
}

// SIGHUP reloads certificates and keys. When a file is invalid, the previous ones stay in use.
function reloadOnSignal(running: daemon.Daemon, logger: observability.ComponentLogger): void {
  process.on('SIGHUP', () => {
    running.reload().catch((error: unknown) => {
      const { kind, message } = results.toFailure(error);
      logger.error('certificates and keys were not read again', { result: kind, reason: message });
    });
  });
}

async function runDaemon(file: string): Promise<void> {
  const loadedSettings = await settings.loadSettings(file);
  const log = new observability.ProcessLog({
    ...loadedSettings.log,
    fields: { daemon: loadedSettings.name, zone: loadedSettings.zone },
  });
  const stopSignal = waitForStopSignal();
  const running = await daemon.startDaemon(loadedSettings, { log });
  reloadOnSignal(running, log.getLogger('daemon'));
  const signal = await stopSignal;
  log.getLogger('daemon').info('planned stop begins', { signal });
  await running.stop();
}

/** Runs one daemon until SIGTERM or SIGINT. */
export const daemonCommand = cmd.command({
  name: 'daemon',
  description: 'Run one daemon until SIGTERM, which starts a graceful shutdown',
  args: { file: settingsOption },
  handler: async ({ file }) => runDaemon(file),
});

/** Checks a settings file without starting a daemon. */
export const checkSettingsCommand = cmd.command({
  name: 'check-settings',
  description: 'Check a settings file and report every problem with file, line and key',
  args: {
    file: cmd.positional({ displayName: 'FILE', description: 'TOML file with the settings' }),
    json: jsonFlag,
  },
  handler: async ({ file, json }) => {
    const loadedSettings = await settings.loadSettings(file);
    if (json) {
      printData(loadedSettings);
    } else {
      printLine(
        `${file}: the settings of daemon "${loadedSettings.name}" in zone "${loadedSettings.zone}" are valid`,
      );
    }
  },
});
