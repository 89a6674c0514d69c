/**
 * Entry point of a broken daemon: `daemon.js VARIANT daemon --settings FILE` injects the defect of the
 * variant into this process and runs the product's program.
 */
import * as results from '@dogwoodstall/results';
import { daemonProgram } from '../fleet/local-fleet.js';
import { defects } from './defects.js';

const NAME_POSITION = 2;

const [name = ''] = process.argv.splice(NAME_POSITION, 1);
const injectDefect = defects[name];
if (injectDefect === undefined) {
  throw new results.FailureError('MeasurementUnknown', `no broken variant "${name}"`);
}
await injectDefect();
await import(daemonProgram.href);
