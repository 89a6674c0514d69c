/**
 * Logs what happens for lack of descriptors, as one line with the number of each event for any number of events.
 */
import type { DescriptorEvent } from '@dogwoodstall/gateway';
import type * as observability from '@dogwoodstall/observability';

/** Minimum time between two lines. */
const INTERVAL_MILLISECONDS = 1000;

/** Writes the lines of one daemon. */
export class DescriptorLog {
  private readonly counts = new Map<DescriptorEvent, number>();

  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly logger: observability.ComponentLogger) {}

  /** Counts events; the line follows within the interval. */
  record(event: DescriptorEvent, count: number): void {
    this.counts.set(event, (this.counts.get(event) ?? 0) + count);
    this.timer ??= setTimeout(() => this.write(), INTERVAL_MILLISECONDS).unref();
  }

  close(): void {
    clearTimeout(this.timer);
    this.write();
  }

  private write(): void {
    this.timer = undefined;
    if (this.counts.size > 0) {
      this.logger.warn('descriptors are short', Object.fromEntries(this.counts));
      this.counts.clear();
    }
  }
}
