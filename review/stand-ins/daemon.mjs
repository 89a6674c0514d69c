/**
 * Starts the project's program as a process with the command and the settings template of the deploy file.
 */
import { spawn } from 'node:child_process';
import * as fs from 'node:fs';
import * as path from 'node:path';
import { renderTemplate } from './template.mjs';

const ROOT = path.resolve(import.meta.dirname, '../..');
const deployFile = fs.readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
const [, command] = /^run = "(.*)"$/m.exec(deployFile);
const [, templatePath] = /^template = "(.*)"$/m.exec(deployFile);
const template = fs.readFileSync(path.join(ROOT, templatePath), 'utf8');

export class Daemon {
  /** Time of the last signal or cut of this daemon. */
  disturbedAt = -Infinity;

  /** The program is taken from `programFolder`, by default from the folder of the deploy file. */
  constructor(fields, folder, programFolder = path.join(ROOT, 'target')) {
    this.fields = fields;
    this.name = fields.node;
    this.folder = folder;
    this.programFolder = programFolder;
    this.logFile = path.join(folder, `${this.name}.log`);
  }

  start() {
    const file = path.join(this.folder, `${this.name}.conf`);
    fs.writeFileSync(file, renderTemplate(template, this.fields));
    const [program, ...words] = command
      .split(' ')
      .map((word) => word.replace(/^target(?=\/)/, this.programFolder));
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
