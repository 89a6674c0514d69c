/**
 * A round-robin slot source.
 */
import type * as gateway from '../src/index.js';

/** Grants slots at the endpoints in turn and records the requests for slots and their reports. */
export class SlotsInTurn implements gateway.SlotSource {
  readonly asks: gateway.SlotAsk[] = [];

  readonly ends: gateway.SlotEnd[] = [];

  constructor(
    private readonly addresses: readonly string[],
    private readonly hedgeAfter = 5000,
    private readonly reuseWithinMilliseconds = 60_000,
  ) {}

  acquire(ask: gateway.SlotAsk): Promise<gateway.SlotDecision> {
    this.asks.push(ask);
    const index = (this.asks.length - 1) % this.addresses.length;
    return Promise.resolve({
      kind: 'slot',
      slot: {
        endpoint: String(index),
        address: this.addresses[index] as string,
        hedgeAfter: this.hedgeAfter,
        reuseWithinMilliseconds: this.reuseWithinMilliseconds,
        report: (end) => this.ends.push(end),
      },
    });
  }
}
