/**
 * Finds the line of a key of a TOML document. The parser reports no positions of accepted values, so
 * that a second pass over the text collects them.
 */
import { KeyScanner, pathKey, type KeyPath } from './key-scanner.js';

/** The lines of the keys of one document. */
export class KeyLines {
  private readonly lines: ReadonlyMap<string, number>;

  constructor(text: string) {
    const scanner = new KeyScanner(text);
    this.lines = scanner.scan();
  }

  /** Returns the line of a key path, or of the nearest table or array around a missing key. */
  find(path: KeyPath): number {
    for (let { length } = path; length > 0; length -= 1) {
      const line = this.lines.get(pathKey(path.slice(0, length)));
      if (line !== undefined) {
        return line;
      }
    }
    return 1;
  }
}
