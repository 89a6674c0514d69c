/**
 * Starts the project's program as a process with the command and the settings template of the deploy file.
 */
import { spawn } from 'node:child_process';
import * as fs from 'node:fs';
import * as path from 'node:path';

const ROOT = path.resolve(import.meta.dirname, '../..');
const deployFile = fs.readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
const [, command] = /^run = "(.*)"$/m.exec(deployFile);
const [, templatePath] = /^template = "(.*)"$/m.exec(deployFile);
const template = fs.readFileSync(path.join(ROOT, templatePath), 'utf8');

function render(fields) {
  return template.replaceAll(/\{\{([\w.]+)(\|json)?\}\}/g, (_all, name, json) => {
    const value = name.split('.').reduce((object, key) => object?.[key], fields);
    if (json !== undefined) {
      return JSON.stringify(value);
    }
    return value ?? '';
  });
}

export class Daemon {
  /** Time of the last signal or cut of this daemon. */
  disturbedAt = -Infinity;

  constructor(fields, folder) {
    this.fields = fields;
    this.name = fields.node;
    this.folder = folder;
    this.logFile = path.join(folder, `${this.name}.log`);
  }

  start() {
    const file = path.join(this.folder, `${this.name}.conf`);
    fs.writeFileSync(file, render(this.fields));
    const [program, ...words] = command.split(' ');
    const log = fs.openSync(this.logFile, 'a');
    const { PATH, HOME, LANG } = process.env;
    this.process = spawn(program, words, {
      cwd: ROOT,
      env: { PATH, HOME, ...(LANG && { LANG }), DOGWOODSTALL_SETTINGS: file },
      stdio: ['ignore', log, log],
    });
    fs.closeSync(log);
    this.exited = new Promise((resolve) => {
      this.process.once('exit', (code, signal) => resolve({ code, signal }));
    });
  }

  signal(name) {
    this.disturbedAt = performance.now();
    this.process.kill(name);
  }

  /** Kills the process and starts it again, as the platform does. */
  async restart() {
    this.signal('SIGKILL');
    await this.exited;
    this.start();
    this.disturbedAt = performance.now();
  }

  async close() {
    if (this.process !== undefined && this.process.exitCode === null) {
      this.process.kill('SIGCONT');
      this.process.kill('SIGKILL');
      await this.exited;
    }
  }
}
