/**
 * Counts the checks of each invariant and records their violations.
 */

/** The invariants in the order of the design, and `process`: daemons must not exit unexpectedly. */
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

/** One violation. */
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

  /** Counts a check, and records a violation with the text of `describe` if it does not hold. */
  check(invariant: Name, holds: boolean, describe: () => string): void {
    this.checks.set(invariant, this.countChecks(invariant) + 1);
    if (!holds) {
      this.found.push({ invariant, description: describe() });
    }
  }

  /** Records a violation that was found elsewhere, such as in a log. */
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

  /** Returns the invariants without a single check, about which a run proves nothing. */
  listUnobserved(): Name[] {
    return this.names.filter((name) => this.countChecks(name) === 0);
  }

  /** Formats one line for each invariant and one for each of the first violations. */
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
