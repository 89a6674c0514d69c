/**
 * Names that are used more than once.
 */

/** Returns the names that occur more than once. */
export function findRepeated(names: readonly string[]): Set<string> {
  const seen = new Set<string>();
  const repeated = new Set<string>();
  for (const name of names) {
    if (seen.has(name)) {
      repeated.add(name);
    }
    seen.add(name);
  }
  return repeated;
}
