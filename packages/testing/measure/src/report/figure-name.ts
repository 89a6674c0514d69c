/**
 * Parses names of figures. Each contains a subject, a quantity and a unit, in snake case such as
 * `at_200_per_s_direct_p50_ms` or in camel case such as `roundRobinShortWaitP99Milliseconds`.
 */

/** The system that a figure describes: the product, a variant of it or a baseline. */
export interface Subject {
  /** Consecutive words that name the subject in names of figures. */
  readonly words: readonly string[];
  readonly label: string;
}

/** All subjects, in the order of the columns of a table. */
export const subjects: readonly Subject[] = [
  { words: ['product'], label: 'product' },
  { words: ['one', 'daemon'], label: 'one daemon' },
  { words: ['two', 'hops'], label: 'two hops' },
  { words: ['planned'], label: 'planned stop' },
  { words: ['killed'], label: 'kill' },
  { words: ['direct'], label: 'direct connection' },
  { words: ['random'], label: 'random' },
  { words: ['round', 'robin'], label: 'round robin' },
  { words: ['least', 'outstanding'], label: 'least outstanding' },
];

/** Column of figures whose names contain no subject. */
export const WITHOUT_SUBJECT = 'run';

const unitByWord: ReadonlyMap<string, string> = new Map([
  ['ms', 'ms'],
  ['milliseconds', 'ms'],
  ['seconds', 's'],
  ['percent', '%'],
  ['megabytes', 'MB'],
  ['bytes', 'bytes'],
]);

/** The parts of a name. */
export interface FigureName {
  readonly subject: string;
  readonly quantity: string;
  readonly unit: string;
}

function splitWords(name: string): string[] {
  return name
    .replaceAll('_', ' ')
    .replaceAll(/([a-z0-9])([A-Z])/g, '$1 $2')
    .toLowerCase()
    .split(' ')
    .filter((word) => word !== '');
}

function findSequence(words: readonly string[], sequence: readonly string[]): number {
  return words.findIndex((_word, start) =>
    sequence.every((word, offset) => words[start + offset] === word),
  );
}

// Units such as "requests per second" have three words and others have one; counts have no unit.
function splitUnit(words: readonly string[]): { quantity: readonly string[]; unit: string } {
  const last = words.at(-1) ?? '';
  if (words.at(-2) === 'per' && words.length > 3) {
    const per = last === 'second' ? 's' : last;
    return { quantity: words.slice(0, -3), unit: `${words.at(-3) ?? ''}/${per}` };
  }
  const unit = unitByWord.get(last);
  return unit === undefined
    ? { quantity: words, unit: '' }
    : { quantity: words.slice(0, -1), unit };
}

/** Splits the name of a figure into subject, quantity and unit. */
export function parseFigureName(name: string): FigureName {
  let words = splitWords(name);
  let label = WITHOUT_SUBJECT;
  for (const subject of subjects) {
    const start = findSequence(words, subject.words);
    const remaining = words.filter(
      (_word, index) => index < start || index >= start + subject.words.length,
    );
    if (start >= 0 && remaining.length > 0) {
      words = remaining;
      label = subject.label;
      break;
    }
  }
  const { quantity, unit } = splitUnit(words);
  return { subject: label, quantity: quantity.join(' '), unit };
}
