/**
 * Names of figures: `at_200_per_s_direct_p50_ms` and `roundRobinShortWaitP99Milliseconds` both consist
 * of a subject, a quantity and a unit.
 */

/** What a figure is about: the product or a baseline. */
export interface Subject {
  /** Words of the subject as they occur in names of figures. */
  readonly words: readonly string[];
  readonly label: string;
}

/** Subjects in the order of columns, the product first. */
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

/** Column of figures that name no subject. */
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

function findWords(words: readonly string[], wanted: readonly string[]): number {
  return words.findIndex((_word, start) =>
    wanted.every((word, offset) => words[start + offset] === word),
  );
}

// "requests per second" is a unit of three words; other units have one, and counts name what they count.
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

/** Splits the name of a figure. */
export function parseFigureName(name: string): FigureName {
  let words = splitWords(name);
  let label = WITHOUT_SUBJECT;
  for (const subject of subjects) {
    const start = findWords(words, subject.words);
    const rest = words.filter(
      (_word, index) => index < start || index >= start + subject.words.length,
    );
    if (start >= 0 && rest.length > 0) {
      words = rest;
      label = subject.label;
      break;
    }
  }
  const { quantity, unit } = splitUnit(words);
  return { subject: label, quantity: quantity.join(' '), unit };
}
