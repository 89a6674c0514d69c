/**
 * Reloads the settings file of a running daemon, on a signal or when polling finds that the file has changed. An
 * invalid file leaves the active settings unchanged.
 */
import * as fs from 'node:fs';
import { setTimeout as delay } from 'node:timers/promises';
import type * as observability from '@dogwoodstall/observability';
import * as results from '@dogwoodstall/results';
import { type GatewaySettings, loadGatewaySettings } from './settings.js';

/** Polling interval for changes without a signal. */
const POLL_MILLISECONDS = 3000;

/** Time for which a start reads a file again that is not valid, because it may just be written. */
const START_RETRY_MILLISECONDS = 1000;
const START_PAUSE_MILLISECONDS = 25;

/** Settings that were read when the process started. */
export interface StartSettings {
  readonly settings: GatewaySettings;
  /** Tells later versions of the file apart from the one that was read. */
  readonly version: string;
  /** How often the file was read until it was valid. */
  readonly attempts: number;
}

/** Options of `SettingsFile`. */
export interface SettingsFileOptions {
  readonly path: string;
  /** Version of the file that is in force; any, if absent. */
  readonly version?: string;
  readonly onChange: (settings: GatewaySettings) => void;
  readonly logger: observability.ComponentLogger;
}

async function readVersion(path: string): Promise<string> {
  const { mtimeMs, size, ino } = await fs.promises.stat(path);
  return [mtimeMs, size, ino].join();
}

/**
 * Loads the settings at the start of a process. A file that is not valid is read again for a short time, and then its
 * error is thrown as by `loadGatewaySettings`. Returns undefined when aborted.
 */
export async function loadStartSettings(
  path: string,
  signal: AbortSignal,
): Promise<StartSettings | undefined> {
  const deadline = performance.now() + START_RETRY_MILLISECONDS;
  for (let attempts = 1; !signal.aborted; attempts += 1) {
    try {
      const version = await readVersion(path).catch(() => '');
      return { settings: await loadGatewaySettings(path), version, attempts };
    } catch (error) {
      if (performance.now() > deadline && !signal.aborted) {
        throw error;
      }
      await delay(START_PAUSE_MILLISECONDS);
    }
  }
  return undefined;
}

/** Reloads the settings file of one daemon. */
export class SettingsFile {
  private readonly onStat = (current: fs.Stats, previous: fs.Stats): void => {
    if (current.mtimeMs !== previous.mtimeMs) {
      this.reload('file changed');
    }
  };

  private reading = Promise.resolve();

  private isQueued = false;

  constructor(private readonly options: SettingsFileOptions) {}

  /** Starts polling the file for changes; reloads it if it has changed since it was loaded. */
  watch(): void {
    const { path, version } = this.options;
    fs.watchFile(path, { interval: POLL_MILLISECONDS, persistent: false }, this.onStat);
    if (version !== undefined) {
      readVersion(path)
        .catch(() => '')
        .then((current) => {
          if (current !== version) {
            this.reload('file changed');
          }
        });
    }
  }

  close(): void {
    fs.unwatchFile(this.options.path, this.onStat);
  }

  /**
   * Reloads the file and passes valid settings to `onChange`; `cause` appears in the log. The file is read by one reload
   * after the other, so that the last one decides.
   */
  reload(cause: string): void {
    if (this.isQueued) {
      return;
    }
    this.isQueued = true;
    this.reading = this.reading.then(() => {
      this.isQueued = false;
      return this.read(cause);
    });
  }

  private async read(cause: string): Promise<void> {
    const { path, onChange, logger } = this.options;
    try {
      const settings = await loadGatewaySettings(path);
      logger.info('settings were read again', { cause });
      onChange(settings);
    } catch (error) {
      const { kind, message } = results.toFailure(error);
      logger.error('settings were not read again', { cause, result: kind, reason: message });
    }
  }
}
