/**
 * A round-robin slot source.
 */
import type * as gateway from '../src/index.js';

/** Grants slots at the endpoints in turn and records the requests for slots and their reports. */
export class RoundRobinSlots implements gateway.SlotSource {
  readonly acquisitions: gateway.SlotAcquireOptions[] = [];

  readonly reports: gateway.SlotReport[] = [];

  private beforeDecision: ((options: gateway.SlotAcquireOptions) => void) | undefined;

  constructor(
    private readonly addresses: readonly string[],
    private readonly hedgeAfter = 5000,
    private readonly maximumIdleMilliseconds = 60_000,
  ) {}

  /** Sets a function that is called before each further decision. */
  setBeforeDecision(beforeDecision: (options: gateway.SlotAcquireOptions) => void): void {
    this.beforeDecision = beforeDecision;
  }

  acquire(options: gateway.SlotAcquireOptions): Promise<gateway.SlotDecision> {
    this.acquisitions.push(options);
    this.beforeDecision?.(options);
    const index = (this.acquisitions.length - 1) % this.addresses.length;
    return Promise.resolve({
      kind: 'slot',
      slot: {
        endpoint: String(index),
        address: this.addresses[index] as string,
        hedgeAfter: this.hedgeAfter,
        maximumIdleMilliseconds: this.maximumIdleMilliseconds,
        report: (report) => this.reports.push(report),
      },
    });
  }
}
