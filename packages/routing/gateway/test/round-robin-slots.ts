/**
 * A round-robin slot source.
 */
import type * as gateway from '../src/index.js';

/** Grants slots at the endpoints in turn and records the requests for slots and their reports. */
export class RoundRobinSlots implements gateway.SlotSource {
  readonly acquisitions: gateway.SlotAcquireOptions[] = [];

  readonly reports: gateway.SlotReport[] = [];

  constructor(
    private readonly addresses: readonly string[],
    private readonly hedgeAfter = 5000,
    private readonly maximumIdleMilliseconds = 60_000,
  ) {}

  acquire(options: gateway.SlotAcquireOptions): Promise<gateway.SlotDecision> {
    this.acquisitions.push(options);
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
