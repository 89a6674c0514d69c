/**
 * Incarnation numbers of daemon processes.
 */
import { randomInt } from 'node:crypto';

const RANDOM_VALUES = 4096;

/**
 * Returns the incarnation of this process: its start time in epoch milliseconds with twelve random
 * low bits. The number stays a safe integer until the year 2039.
 */
export function createIncarnation(): number {
  return Date.now() * RANDOM_VALUES + randomInt(RANDOM_VALUES);
}
