/**
 * Rate and concurrency limits of the organisations that call a service.
 */
import type { Contract } from '@dogwoodstall/model';

/** The limits of a contract. */
export type OrganisationContract = Pick<
  Contract,
  'organisationRatePerSecond' | 'organisationConcurrency'
>;

interface OrganisationUse {
  requests: number;
  tokens: number;
  filledAt: number;
}

/** A second of the rate may come at once. */
const BURST_SECONDS = 1;

const MILLISECONDS_PER_SECOND = 1000;

/** Organisations that are remembered; idle ones are forgotten first. */
const SWEEP_SIZE = 1024;

function refill(use: OrganisationUse, rate: number, now: number): void {
  const filled = use;
  const capacity = Math.max(1, rate * BURST_SECONDS);
  const added = ((now - use.filledAt) * rate) / MILLISECONDS_PER_SECOND;
  filled.tokens = Math.min(capacity, use.tokens + added);
  filled.filledAt = now;
}

/** Counts the requests of each organisation. */
export class OrganisationLimits {
  private readonly uses = new Map<string, OrganisationUse>();

  private sweepAt = SWEEP_SIZE;

  constructor(private contract: OrganisationContract) {}

  /** Follows a new contract. */
  updateContract(contract: OrganisationContract): void {
    this.contract = contract;
  }

  /** Counts a request in; returns the limit that it exceeds, if any. */
  enter(
    organisation: string,
    now: number,
  ): 'OrganisationRateExceeded' | 'OrganisationConcurrencyExceeded' | undefined {
    const { organisationRatePerSecond: rate, organisationConcurrency: concurrency } = this.contract;
    const use = this.openUse(organisation, now);
    if (concurrency !== undefined && use.requests >= concurrency) {
      return 'OrganisationConcurrencyExceeded';
    }
    if (rate !== undefined) {
      refill(use, rate, now);
      if (use.tokens < 1) {
        return 'OrganisationRateExceeded';
      }
      use.tokens -= 1;
    }
    use.requests += 1;
    return undefined;
  }

  /** Counts a request out. */
  leave(organisation: string): void {
    const use = this.uses.get(organisation);
    if (use !== undefined) {
      use.requests -= 1;
      if (use.requests === 0 && this.contract.organisationRatePerSecond === undefined) {
        this.uses.delete(organisation);
      }
    }
  }

  private openUse(organisation: string, now: number): OrganisationUse {
    let use = this.uses.get(organisation);
    if (use === undefined) {
      use = { requests: 0, tokens: Infinity, filledAt: now };
      this.uses.set(organisation, use);
      this.sweep(now);
    }
    return use;
  }

  // The sweep runs when the number has doubled, which costs O(1) per request on average.
  private sweep(now: number): void {
    if (this.uses.size < this.sweepAt) {
      return;
    }
    const fullAfter = BURST_SECONDS * MILLISECONDS_PER_SECOND;
    for (const [organisation, use] of this.uses) {
      if (use.requests === 0 && now - use.filledAt >= fullAfter) {
        this.uses.delete(organisation);
      }
    }
    this.sweepAt = Math.max(SWEEP_SIZE, 2 * this.uses.size);
  }
}
