/**
 * The table of all result codes, and lookup by name and number.
 */
import { backendResults } from './codes/backend.js';
import { configurationResults } from './codes/configuration.js';
import { idempotencyResults } from './codes/idempotency.js';
import { invariantResults } from './codes/invariants.js';
import { peerResults } from './codes/peers.js';
import { requestResults } from './codes/request.js';
import { routingResults } from './codes/routing.js';
import { settingsResults } from './codes/settings.js';
import { storeResults } from './codes/store.js';
import type { ResultDefinition } from './definition.js';

/** All result codes by name. */
export const resultTable = {
  ...settingsResults,
  ...requestResults,
  ...routingResults,
  ...idempotencyResults,
  ...backendResults,
  ...configurationResults,
  ...peerResults,
  ...storeResults,
  ...invariantResults,
} as const;

/** The name of a result code. */
export type ResultName = keyof typeof resultTable;

/** Returns the definition of a result. */
export function findResult(name: ResultName): ResultDefinition {
  return resultTable[name];
}

const nameByNumber = new Map<number, ResultName>();
for (const [name, definition] of Object.entries(resultTable)) {
  nameByNumber.set(definition.number, name as ResultName);
}

/** Returns the name of the result with a number, or undefined if there is none. */
export function findResultName(number: number): ResultName | undefined {
  return nameByNumber.get(number);
}
