/**
 * Counts of the checks of each invariant and of their violations.
 */

/** The invariants in the order of the design, and the processes that must not end by themselves. */
export const invariantNames = [
  'floor',
  'answers',
  'not-run',
  'at-most-once',
  'drain',
  'planned-stop',
  'configuration',
  'process',
] as const;

export type InvariantName = (typeof invariantNames)[number];

/** One violation, for the report. */
export interface Violation<Name extends string> {
  readonly invariant: Name;
  readonly description: string;
}

const PRINTED_VIOLATIONS = 20;

/** Collects the checks of one run. */
export class InvariantBook<Name extends string = InvariantName> {
  private readonly checks = new Map<Name, number>();

  private readonly found: Violation<Name>[] = [];

  constructor(private readonly names: readonly Name[]) {}

  /** Counts a check; `describe` is called when it does not hold. */
  check(invariant: Name, holds: boolean, describe: () => string): void {
    this.checks.set(invariant, this.countChecks(invariant) + 1);
    if (!holds) {
      this.found.push({ invariant, description: describe() });
    }
  }

  /** Counts a violation that was observed without a check of this run, such as in a log. */
  report(invariant: Name, description: string): void {
    this.check(invariant, false, () => description);
  }

  get violations(): readonly Violation<Name>[] {
    return this.found;
  }

  countChecks(invariant: Name): number {
    return this.checks.get(invariant) ?? 0;
  }

  countViolations(invariant: Name): number {
    return this.found.filter((violation) => violation.invariant === invariant).length;
  }

  /** Invariants that nothing was observed about; a run with any proves nothing about them. */
  listUnobserved(): Name[] {
    return this.names.filter((name) => this.countChecks(name) === 0);
  }

  /** Returns one line for each invariant and one for each of the first violations. */
  format(): string {
    const lines = this.names.map((name) => {
      const checks = String(this.countChecks(name)).padStart(9);
      const violations = String(this.countViolations(name)).padStart(6);
      return `${name.padEnd(14)}${checks} checks${violations} violations`;
    });
    for (const { invariant, description } of this.found.slice(0, PRINTED_VIOLATIONS)) {
      lines.push(`violated: ${invariant}: ${description}`);
    }
    return lines.join('\n');
  }
}
