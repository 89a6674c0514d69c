/**
 * What a connection to an endpoint has carried. A response names its request by the id only, and an endpoint may send an
 * earlier response once more where the next one is due. The id tells the copy from the response to another request, but
 * not from that to the same request, so that no connection carries an id twice.
 */
import * as hashing from '@dogwoodstall/hashing';

/** A connection that has carried this many requests is closed, which bounds the memory for their ids. */
const MAXIMUM_REQUESTS = 256;

/** A request as far as its response has to be recognised. */
export interface CarriedRequest {
  /** Undefined if the caller gave none; such requests can't be told apart. */
  readonly requestId: string | undefined;
  readonly method: string;
}

/** The requests of one connection. */
export class ConnectionHistory {
  /**
   * Whether the response to a request had no body because of its method, by the hash of its id. Two ids with the same
   * hash only cost another connection.
   */
  private readonly carried = new Map<number, boolean>();

  private current: number | undefined;

  /** Whether the connection may carry no further request. */
  get isFull(): boolean {
    return this.carried.size >= MAXIMUM_REQUESTS;
  }

  /** Whether the response to a request with this id can be told from a copy of an earlier one. */
  mayCarry(requestId: string | undefined): boolean {
    return !this.carried.has(ConnectionHistory.hash(requestId));
  }

  /** Records that a request is sent. */
  add({ requestId, method }: CarriedRequest): void {
    this.current = ConnectionHistory.hash(requestId);
    this.carried.set(this.current, method === 'HEAD');
  }

  /** Returns the earlier request to which a response with this id belongs; undefined if there was none. */
  findEarlier(requestId: string | undefined): { readonly isHead: boolean } | undefined {
    const hash = ConnectionHistory.hash(requestId);
    const isHead = hash === this.current ? undefined : this.carried.get(hash);
    return isHead === undefined ? undefined : { isHead };
  }

  private static hash(requestId: string | undefined): number {
    return hashing.hashText32(requestId ?? '');
  }
}
