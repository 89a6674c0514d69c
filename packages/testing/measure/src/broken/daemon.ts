/**
 * The program of a broken daemon: `daemon.js VARIANT daemon --settings FILE` replaces one function of
 * the product in this process and starts the product's own program.
 */
import * as results from '@dogwoodstall/results';
import { daemonProgram } from '../fleet/local-fleet.js';
import { breakages } from './breakages.js';

const NAME_POSITION = 2;

const [name = ''] = process.argv.splice(NAME_POSITION, 1);
const breakProduct = breakages[name];
if (breakProduct === undefined) {
  throw new results.FailureError('MeasurementUnknown', `no broken variant "${name}"`);
}
await breakProduct();
await import(daemonProgram.href);
