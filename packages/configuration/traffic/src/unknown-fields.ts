/**
 * Fields of a configuration that no schema knows, such as mistyped names of optional fields.
 */
import { type Finding, createFinding } from './finding.js';

function describe(value: unknown, position: string): string {
  const name = (value as { readonly name?: unknown } | null)?.name;
  return typeof name === 'string' ? name : position;
}

function listUnknown(value: unknown, known: unknown, path: string): string[] {
  if (typeof value !== 'object' || value === null || typeof known !== 'object' || known === null) {
    return [];
  }
  const unknown: string[] = [];
  for (const [key, inner] of Object.entries(value)) {
    const step = Array.isArray(value) ? describe(inner, key) : key;
    const innerPath = path === '' ? step : `${path}/${step}`;
    if (key in known) {
      unknown.push(...listUnknown(inner, (known as Record<string, unknown>)[key], innerPath));
    } else {
      unknown.push(innerPath);
    }
  }
  return unknown;
}

/** Returns the fields of a configuration, as read from a file, that parsing it dropped. */
export function findUnknownFields(value: unknown, parsed: unknown): Finding[] {
  return listUnknown(value, parsed, '').map((path) =>
    createFinding('FieldUnknown', path, 'the field is unknown and has no effect'),
  );
}
