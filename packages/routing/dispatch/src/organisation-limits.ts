/**
 * Enforces the rate and concurrency limits of the organisations that call a service.
 */
import type { Contract } from '@dogwoodstall/model';

/** The limits for each organisation, as set in the contract of a service. */
export type OrganisationLimits = Pick<
  Contract,
  'organisationRatePerSecond' | 'organisationConcurrency'
>;

interface OrganisationUsage {
  requests: number;
  tokens: number;
  refilledAt: number;
}

/** Size of the token bucket: a burst may use the tokens of this many seconds. */
const BURST_SECONDS = 1;

const MILLISECONDS_PER_SECOND = 1000;

/** Minimum number of tracked organisations before idle ones are removed. */
const MINIMUM_SWEEP_SIZE = 1024;

function refill(usage: OrganisationUsage, rate: number, now: number): void {
  const refilled = usage;
  const capacity = Math.max(1, rate * BURST_SECONDS);
  const added = ((now - usage.refilledAt) * rate) / MILLISECONDS_PER_SECOND;
  refilled.tokens = Math.min(capacity, usage.tokens + added);
  refilled.refilledAt = now;
}

/** Tracks the requests of each organisation with a token bucket and a count of requests in flight. */
export class OrganisationLimiter {
  private readonly usages = new Map<string, OrganisationUsage>();

  private sweepAt = MINIMUM_SWEEP_SIZE;

  constructor(private contract: OrganisationLimits) {}

  /** Applies a new contract. */
  updateContract(contract: OrganisationLimits): void {
    this.contract = contract;
  }

  /** Admits a request, or returns the limit that it would exceed. */
  tryAcquire(
    organisation: string,
    now: number,
  ): 'OrganisationRateExceeded' | 'OrganisationConcurrencyExceeded' | undefined {
    const { organisationRatePerSecond: rate, organisationConcurrency: concurrency } = this.contract;
    const usage = this.getOrCreateUsage(organisation, now);
    if (concurrency !== undefined && usage.requests >= concurrency) {
      return 'OrganisationConcurrencyExceeded';
    }
    if (rate !== undefined) {
      refill(usage, rate, now);
      if (usage.tokens < 1) {
        return 'OrganisationRateExceeded';
      }
      usage.tokens -= 1;
    }
    usage.requests += 1;
    return undefined;
  }

  /** Releases an admitted request that has finished or was refused afterwards. */
  release(organisation: string): void {
    const usage = this.usages.get(organisation);
    if (usage !== undefined) {
      usage.requests -= 1;
      if (usage.requests === 0 && this.contract.organisationRatePerSecond === undefined) {
        this.usages.delete(organisation);
      }
    }
  }

  private getOrCreateUsage(organisation: string, now: number): OrganisationUsage {
    let usage = this.usages.get(organisation);
    if (usage === undefined) {
      usage = { requests: 0, tokens: Infinity, refilledAt: now };
      this.usages.set(organisation, usage);
      this.sweep(now);
    }
    return usage;
  }

  // Removes idle organisations whose bucket is full again. Running only when the number of
  // organisations has doubled makes the amortised cost O(1) per request.
  private sweep(now: number): void {
    if (this.usages.size < this.sweepAt) {
      return;
    }
    const fullAfter = BURST_SECONDS * MILLISECONDS_PER_SECOND;
    for (const [organisation, usage] of this.usages) {
      if (usage.requests === 0 && now - usage.refilledAt >= fullAfter) {
        this.usages.delete(organisation);
      }
    }
    this.sweepAt = Math.max(MINIMUM_SWEEP_SIZE, 2 * this.usages.size);
  }
}
