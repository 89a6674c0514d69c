/**
 * Formats differences between entities as text.
 */
import type { EntityDifference } from './administration-responses.js';

type Entity = Readonly<Record<string, unknown>>;

const NESTED_FIELD = 'contract';

function flattenFields(entity: Entity): Map<string, string> {
  const fields = new Map<string, string>();
  for (const [field, value] of Object.entries(entity)) {
    if (field === NESTED_FIELD) {
      for (const [inner, innerValue] of Object.entries(value as Entity)) {
        fields.set(`${field}.${inner}`, JSON.stringify(innerValue));
      }
    } else {
      fields.set(field, JSON.stringify(value));
    }
  }
  return fields;
}

function listChangedFields(before: Entity, after: Entity): string[] {
  const oldFields = flattenFields(before);
  const newFields = flattenFields(after);
  const lines: string[] = [];
  for (const field of new Set([...oldFields.keys(), ...newFields.keys()])) {
    if (oldFields.get(field) !== newFields.get(field)) {
      lines.push(
        `    ${field}: ${oldFields.get(field) ?? 'absent'} -> ${newFields.get(field) ?? 'absent'}`,
      );
    }
  }
  return lines;
}

/**
 * Returns one line for each added (`+`), removed (`-`) or changed (`~`) entity and changed field.
 */
export function formatDifference(differences: readonly EntityDifference[]): string[] {
  const lines: string[] = [];
  for (const { kind, name, before, after } of differences) {
    if (after === null) {
      lines.push(`- ${kind}/${name}`);
    } else if (before === null) {
      lines.push(`+ ${kind}/${name}`);
    } else {
      lines.push(`~ ${kind}/${name}`, ...listChangedFields(before ?? {}, after));
    }
  }
  return lines;
}
