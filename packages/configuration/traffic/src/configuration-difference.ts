/**
 * What differs between two versions of a configuration.
 */
import type { TrafficConfiguration } from './configuration.js';
import { type Finding, createFinding } from './finding.js';

/** A field whose value changed, as JSON; undefined if it is absent. */
export interface FieldChange {
  readonly field: string;
  readonly before: string | undefined;
  readonly after: string | undefined;
}

/** An entry that was added, removed or changed, such as `route/offers`. */
export interface EntryChange {
  readonly subject: string;
  readonly change: 'added' | 'removed' | 'changed';
  /** Empty unless the entry was changed. */
  readonly fields: readonly FieldChange[];
}

type Entry = Readonly<Record<string, unknown>>;

/** Returns all entries by subject. */
function listEntries({ routes, services, organisations, limits }: TrafficConfiguration) {
  const entries = new Map<string, Entry>();
  const add = (kind: string, named: readonly (Entry & { readonly name: string })[]): void => {
    for (const entry of named) {
      entries.set(`${kind}/${entry.name}`, entry);
    }
  };
  add('route', routes);
  add('service', services);
  add('organisation', organisations ?? []);
  entries.set('limits', limits);
  return entries;
}

function findFieldChanges(before: Entry, after: Entry): FieldChange[] {
  const changes: FieldChange[] = [];
  for (const field of new Set([...Object.keys(before), ...Object.keys(after)])) {
    const old = JSON.stringify(before[field]) as string | undefined;
    const current = JSON.stringify(after[field]) as string | undefined;
    if (old !== current) {
      changes.push({ field, before: old, after: current });
    }
  }
  return changes;
}

/** Returns the entries of `after` that differ from those of `before`, which is in force. */
export function compareConfigurations(
  before: TrafficConfiguration,
  after: TrafficConfiguration,
): EntryChange[] {
  const older = listEntries(before);
  const newer = listEntries(after);
  const changes: EntryChange[] = [];
  for (const subject of new Set([...older.keys(), ...newer.keys()])) {
    const old = older.get(subject);
    const current = newer.get(subject);
    if (old === undefined || current === undefined) {
      changes.push({ subject, change: old === undefined ? 'added' : 'removed', fields: [] });
    } else {
      const fields = findFieldChanges(old, current);
      if (fields.length > 0) {
        changes.push({ subject, change: 'changed', fields });
      }
    }
  }
  return changes;
}

/** Returns why a configuration would not replace the one in force. */
export function checkVersion(
  inForce: TrafficConfiguration,
  { version }: TrafficConfiguration,
): Finding[] {
  const message = `version ${version} does not replace version ${inForce.version}, which is in force`;
  return version > inForce.version ? [] : [createFinding('VersionNotHigher', 'version', message)];
}
