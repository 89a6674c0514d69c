/**
 * What a connection to an endpoint has carried. A response names its request by the id only, and an endpoint may send a
 * response once more before the next one. The id tells the copy from the response to another request, but not from that
 * to the same request, so that no connection carries an id twice.
 */
import * as hashing from '@dogwoodstall/hashing';

/** A connection that has carried this many requests is closed, which bounds the memory for their ids. */
const MAXIMUM_REQUESTS = 256;

/** What decides whether a connection may carry a request. */
export interface CarriedRequest {
  /** Undefined if the caller gave none; such requests can't be told apart. */
  readonly requestId: string | undefined;
  readonly idempotent: boolean;
}

/** The requests of one connection. */
export class ConnectionHistory {
  /** Hashes of the ids; two ids with the same hash only cost another connection. */
  private readonly carried = new Set<number>();

  /** Whether the last response was a refusal, so that its copy may precede the next response. */
  private endedWithRefusal = false;

  /** Whether the connection may carry no further request. */
  get isFull(): boolean {
    return this.carried.size >= MAXIMUM_REQUESTS;
  }

  /** Whether the response to a request can be told from a copy of an earlier one, or lost without harm. */
  mayCarry({ requestId, idempotent }: CarriedRequest): boolean {
    const isDistinct = !this.carried.has(ConnectionHistory.hash(requestId));
    return isDistinct && (idempotent || !this.endedWithRefusal);
  }

  /** Records that a request is sent. */
  add(requestId: string | undefined): void {
    this.carried.add(ConnectionHistory.hash(requestId));
  }

  /** Records the kind of a complete response. */
  recordResponse(isRefusal: boolean): void {
    this.endedWithRefusal = isRefusal;
  }

  private static hash(requestId: string | undefined): number {
    return hashing.hashText32(requestId ?? '');
  }
}
