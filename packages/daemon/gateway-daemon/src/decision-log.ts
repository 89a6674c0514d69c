/**
 * Rate-limited log of decisions. Lines over the limit are dropped and counted.
 */
import type * as observability from '@dogwoodstall/observability';

const REPORT_MILLISECONDS = 5000;
/** Capacity of the token bucket, in seconds of the rate. */
const BURST_SECONDS = 2;

/** Writes the decision lines of one log component, limited by a token bucket. */
export class DecisionLog {
  private tokens: number;

  private refilledAt = performance.now();

  private omittedCount = 0;

  private readonly timer: NodeJS.Timeout;

  constructor(
    private readonly logger: observability.ComponentLogger,
    private readonly perSecond: number,
  ) {
    this.tokens = perSecond * BURST_SECONDS;
    this.timer = setInterval(() => this.reportOmitted(), REPORT_MILLISECONDS);
    this.timer.unref();
  }

  /** Writes a line, or drops and counts it when the rate limit is reached. */
  write(message: string, fields: observability.LogFields): void {
    const now = performance.now();
    const refill = ((now - this.refilledAt) / 1000) * this.perSecond;
    this.tokens = Math.min(this.perSecond * BURST_SECONDS, this.tokens + refill);
    this.refilledAt = now;
    if (this.tokens < 1) {
      this.omittedCount += 1;
      return;
    }
    this.tokens -= 1;
    this.logger.decision(message, fields);
  }

  close(): void {
    clearInterval(this.timer);
    this.reportOmitted();
  }

  private reportOmitted(): void {
    if (this.omittedCount > 0) {
      this.logger.info('decision lines were left out', { count: this.omittedCount });
      this.omittedCount = 0;
    }
  }
}
