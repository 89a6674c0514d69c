/**
 * A request that waits in the queue of a cell.
 */
import type { DispatchRequest, SlotGrant } from './request.js';

/** A waiting request with its place in the queue. */
export interface Waiter {
  readonly request: DispatchRequest;
  readonly enteredAt: number;
  /** Moment after which the request could not finish before its deadline. */
  readonly latestStartAt: number;
  readonly expectedWaitMilliseconds: number;
  readonly resolve: (grant: SlotGrant) => void;
  readonly reject: (error: Error) => void;
  /** Position in the heap of deadlines; -1 outside of it. */
  heapIndex: number;
  /** Neighbours in the queue of the organisation. */
  previous: Waiter | undefined;
  next: Waiter | undefined;
  /** Stops listening to the request's signal. */
  stopListening: () => void;
}
