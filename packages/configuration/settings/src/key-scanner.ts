/**
 * Scans TOML text for the line number of each key. The text must be valid TOML, as checked by the
 * parser.
 */

import * as toml from 'smol-toml';

/** Path of a value in a document: table keys and array indexes. */
export type KeyPath = readonly (string | number)[];

const BARE_KEY = /[A-Za-z0-9_-]+/y;
const SCALAR = /[^,\]}\n#]+/y;
const LINE_FEED = 10;

/** Serialises a key path for use as a `Map` key. */
export function serialisePath(path: KeyPath): string {
  return JSON.stringify(path);
}

/** Scans a document once and records the line of every key path. */
export class KeyScanner {
  private readonly lines = new Map<string, number>();

  private readonly arrayLengths = new Map<string, number>();

  private position = 0;

  private countedPosition = 0;

  private line = 1;

  constructor(private readonly text: string) {}

  /** Scans the whole text and returns the line of each path, keyed by `serialisePath`. */
  scan(): ReadonlyMap<string, number> {
    let table: KeyPath = [];
    this.skipWhitespaceAndComments();
    while (this.position < this.text.length) {
      if (this.text.startsWith('[[', this.position)) {
        table = this.readHeader(2, true);
      } else if (this.peek() === '[') {
        table = this.readHeader(1, false);
      } else {
        this.readAssignment(table);
      }
      this.skipWhitespaceAndComments();
    }
    return this.lines;
  }

  private peek(): string {
    return this.text.charAt(this.position);
  }

  // Continues counting at the last counted position, so that the scan takes linear time.
  private currentLine(): number {
    while (this.countedPosition < this.position) {
      if (this.text.charCodeAt(this.countedPosition) === LINE_FEED) {
        this.line += 1;
      }
      this.countedPosition += 1;
    }
    return this.line;
  }

  private record(path: KeyPath, line: number): void {
    const key = serialisePath(path);
    if (!this.lines.has(key)) {
      this.lines.set(key, line);
    }
  }

  private skipWhitespaceAndComments(): void {
    while (this.position < this.text.length) {
      const character = this.peek();
      if (character === '#') {
        const end = this.text.indexOf('\n', this.position);
        this.position = end === -1 ? this.text.length : end;
      } else if (/\s/.test(character)) {
        this.position += 1;
      } else {
        return;
      }
    }
  }

  private readHeader(brackets: number, isArray: boolean): KeyPath {
    const line = this.currentLine();
    this.position += brackets;
    const keys = this.readKeys();
    this.position += brackets;
    const path = this.resolveHeader(keys, isArray);
    this.record(path, line);
    return path;
  }

  // `[a.b]` after `[[a]]` refers to key `b` of the last element of `a`.
  private resolveHeader(keys: readonly string[], isArray: boolean): KeyPath {
    let path: KeyPath = [];
    for (const [index, key] of keys.entries()) {
      path = [...path, key];
      const length = this.arrayLengths.get(serialisePath(path));
      if (isArray && index === keys.length - 1) {
        this.arrayLengths.set(serialisePath(path), (length ?? 0) + 1);
        path = [...path, length ?? 0];
      } else if (length !== undefined) {
        path = [...path, length - 1];
      }
    }
    return path;
  }

  private readAssignment(table: KeyPath): void {
    const line = this.currentLine();
    const keys = this.readKeys();
    let path = table;
    for (const key of keys) {
      path = [...path, key];
      this.record(path, line);
    }
    this.position += 1;
    this.readValue(path);
  }

  private readKeys(): string[] {
    const keys: string[] = [];
    for (;;) {
      this.skipWhitespaceAndComments();
      keys.push(this.readKey());
      this.skipWhitespaceAndComments();
      if (this.peek() !== '.') {
        return keys;
      }
      this.position += 1;
    }
  }

  private readKey(): string {
    const quote = this.peek();
    if (quote === '"' || quote === "'") {
      const start = this.position;
      this.skipString();
      const quoted = this.text.slice(start, this.position);
      // Uses the parser to decode escape sequences in the key.
      return Object.keys(toml.parse(`${quoted} = 0`))[0] ?? quoted;
    }
    return this.consumeMatch(BARE_KEY);
  }

  private consumeMatch(pattern: RegExp): string {
    const matcher = new RegExp(pattern);
    matcher.lastIndex = this.position;
    const match = matcher.exec(this.text)?.[0] ?? this.peek();
    this.position += Math.max(match.length, 1);
    return match;
  }

  private readValue(path: KeyPath): void {
    this.skipWhitespaceAndComments();
    const character = this.peek();
    if (character === '[') {
      this.readArray(path);
    } else if (character === '{') {
      this.readInlineTable(path);
    } else if (character === '"' || character === "'") {
      this.skipString();
    } else {
      this.consumeMatch(SCALAR);
    }
  }

  private readArray(path: KeyPath): void {
    this.position += 1;
    for (let index = 0; ; index += 1) {
      this.skipSeparators();
      if (this.peek() === ']' || this.peek() === '') {
        this.position += 1;
        return;
      }
      this.record([...path, index], this.currentLine());
      this.readValue([...path, index]);
    }
  }

  private readInlineTable(path: KeyPath): void {
    this.position += 1;
    for (;;) {
      this.skipSeparators();
      if (this.peek() === '}' || this.peek() === '') {
        this.position += 1;
        return;
      }
      this.readAssignment(path);
    }
  }

  private skipSeparators(): void {
    this.skipWhitespaceAndComments();
    while (this.peek() === ',') {
      this.position += 1;
      this.skipWhitespaceAndComments();
    }
  }

  private skipString(): void {
    const quote = this.peek();
    const isMultiline = this.text.startsWith(quote.repeat(3), this.position);
    const end = isMultiline ? quote.repeat(3) : quote;
    this.position += end.length;
    while (this.position < this.text.length && !this.text.startsWith(end, this.position)) {
      this.position += quote === '"' && this.peek() === '\\' ? 2 : 1;
    }
    this.position += end.length;
    // The content of a multi-line string may end with one or two quotes before the closing three.
    while (isMultiline && this.peek() === quote) {
      this.position += 1;
    }
  }
}
