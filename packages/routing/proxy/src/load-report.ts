/**
 * Parses the load that a backend server reports in its responses (ORCA header in text format).
 */
import type { ReportedLoad } from '@dogwoodstall/health';

const IN_FLIGHT_PATTERN = /named_metrics\.in_flight=(\d+(?:\.\d+)?)/;
const QUEUED_PATTERN = /named_metrics\.queued=(\d+(?:\.\d+)?)/;

/** Returns the reported load, or undefined if the header is absent or has another format. */
export function parseLoadReport(header: string | undefined): ReportedLoad | undefined {
  if (header === undefined || !header.startsWith('TEXT ')) {
    return undefined;
  }
  const inFlight = IN_FLIGHT_PATTERN.exec(header)?.[1];
  if (inFlight === undefined) {
    return undefined;
  }
  return { inFlight: Number(inFlight), queued: Number(QUEUED_PATTERN.exec(header)?.[1] ?? 0) };
}
