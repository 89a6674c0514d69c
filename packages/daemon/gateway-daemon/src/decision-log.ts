/**
 * Rate-limited log of decisions. Lines over the limit are dropped and counted.
 */
import type * as observability from '@dogwoodstall/observability';
import { TokenBucket } from './token-bucket.js';

const REPORT_MILLISECONDS = 5000;

/** Writes the decision lines of one log component, limited by a token bucket. */
export class DecisionLog {
  private readonly bucket: TokenBucket;

  private omittedCount = 0;

  private readonly timer: NodeJS.Timeout;

  constructor(
    private readonly logger: observability.ComponentLogger,
    perSecond: number,
  ) {
    this.bucket = new TokenBucket(perSecond);
    this.timer = setInterval(() => this.reportOmitted(), REPORT_MILLISECONDS);
    this.timer.unref();
  }

  /** Writes a line, or drops and counts it when the rate limit is reached. */
  write(message: string, fields: observability.LogFields): void {
    if (this.bucket.take()) {
      this.logger.decision(message, fields);
    } else {
      this.omittedCount += 1;
    }
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
