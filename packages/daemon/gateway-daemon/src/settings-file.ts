/**
 * Follows the settings file of a running daemon. It may change with a signal or without one; a file that is not valid
 * leaves the settings in force as they are.
 */
import * as fs from 'node:fs';
import type * as observability from '@dogwoodstall/observability';
import * as results from '@dogwoodstall/results';
import { type GatewaySettings, loadGatewaySettings } from './settings.js';

/** Interval at which the file is looked at for a change without a signal. */
const CHECK_MILLISECONDS = 3000;

/** Options of `SettingsFile`. */
export interface SettingsFileOptions {
  readonly path: string;
  readonly onChange: (settings: GatewaySettings) => void;
  readonly logger: observability.ComponentLogger;
}

/** The settings file of one daemon. */
export class SettingsFile {
  private readonly onStat = (now: fs.Stats, before: fs.Stats): void => {
    if (now.mtimeMs !== before.mtimeMs) {
      this.reload('file changed');
    }
  };

  constructor(private readonly options: SettingsFileOptions) {}

  /** Begins to look at the file. */
  follow(): void {
    const options = { interval: CHECK_MILLISECONDS, persistent: false };
    fs.watchFile(this.options.path, options, this.onStat);
  }

  close(): void {
    fs.unwatchFile(this.options.path, this.onStat);
  }

  /** Reads the file again. */
  reload(cause: string): void {
    const { path, onChange, logger } = this.options;
    loadGatewaySettings(path)
      .then((settings) => {
        logger.info('settings were read again', { cause });
        onChange(settings);
      })
      .catch((error: unknown) => {
        const { kind, message } = results.toFailure(error);
        logger.error('settings were not read again', { cause, result: kind, reason: message });
      });
  }
}
