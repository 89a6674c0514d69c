/**
 * A request that waits in the queue of a cell.
 */
import type { Expectation } from './admission.js';
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

/** What a new waiter is made of. */
export interface WaiterOptions extends Pick<Waiter, 'request' | 'resolve' | 'reject'> {
  readonly expectation: Expectation;
  readonly now: number;
}

/** Creates a waiter that is in no queue yet. */
export function createWaiter({ request, expectation, now, ...ends }: WaiterOptions): Waiter {
  return {
    ...ends,
    request,
    enteredAt: now,
    latestStartAt: request.deadlineAt - expectation.neededMilliseconds,
    expectedWaitMilliseconds: expectation.waitMilliseconds,
    heapIndex: -1,
    previous: undefined,
    next: undefined,
    stopListening: () => {},
  };
}

/** Calls a function when the caller goes away, until the waiter stops to listen. */
export function listenForAbort(waiter: Waiter, cancel: () => void): void {
  const listened = waiter;
  const { signal } = waiter.request;
  signal.addEventListener('abort', cancel, { once: true });
  listened.stopListening = () => signal.removeEventListener('abort', cancel);
}
