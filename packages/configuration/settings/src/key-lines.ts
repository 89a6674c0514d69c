/**
 * Maps the keys of a TOML document to line numbers. The TOML parser does not report the positions of
 * parsed values; a second pass over the text collects them.
 */
import { KeyScanner, serialisePath, type KeyPath } from './key-scanner.js';

/** Line numbers of the keys of a TOML document, by key path. */
export class KeyLines {
  private readonly lines: ReadonlyMap<string, number>;

  constructor(text: string) {
    const scanner = new KeyScanner(text);
    this.lines = scanner.scan();
  }

  /** Returns the line of a key, or of the innermost enclosing table or array if the key is missing. */
  find(path: KeyPath): number {
    for (let { length } = path; length > 0; length -= 1) {
      const line = this.lines.get(serialisePath(path.slice(0, length)));
      if (line !== undefined) {
        return line;
      }
    }
    return 1;
  }
}
