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
export interface Violation {
  readonly invariant: InvariantName;
  readonly description: string;
}

const PRINTED_VIOLATIONS = 20;

/** Collects the checks of one run. */
export class InvariantBook {
  private readonly checks = new Map<InvariantName, number>();

  private readonly found: Violation[] = [];

  /** Counts a check; `describe` is called when it does not hold. */
  check(invariant: InvariantName, holds: boolean, describe: () => string): void {
    this.checks.set(invariant, this.countChecks(invariant) + 1);
    if (!holds) {
      this.found.push({ invariant, description: describe() });
    }
  }

  /** Counts a violation that was observed without a check of this run, such as in a log. */
  report(invariant: InvariantName, description: string): void {
    this.check(invariant, false, () => description);
  }

  get violations(): readonly Violation[] {
    return this.found;
  }

  countChecks(invariant: InvariantName): number {
    return this.checks.get(invariant) ?? 0;
  }

  countViolations(invariant: InvariantName): number {
    return this.found.filter((violation) => violation.invariant === invariant).length;
  }

  /** Invariants that nothing was observed about; a run with any proves nothing about them. */
  listUnobserved(): InvariantName[] {
    return invariantNames.filter((name) => this.countChecks(name) === 0);
  }

  /** Returns one line for each invariant and one for each of the first violations. */
  format(): string {
    const lines = invariantNames.map((name) => {
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
