/**
 * A request that is waiting for a slot in the queue of a cell.
 */
import type { AdmissionDecision } from './admission.js';
import type { DispatchRequest, SlotGrant } from './request.js';

/** A waiting request with its position in the queues and the promise callbacks of its caller. */
export interface Waiter {
  readonly request: DispatchRequest;
  readonly enteredAt: number;
  /** Time after which the request is not expected to finish before its deadline. */
  readonly latestStartAt: number;
  readonly expectedWaitMilliseconds: number;
  readonly resolve: (grant: SlotGrant) => void;
  readonly reject: (error: Error) => void;
  /** Index in the deadline heap; -1 if the request is not in it. */
  heapIndex: number;
  /** Links of the doubly linked queue of the organisation. */
  previous: Waiter | undefined;
  next: Waiter | undefined;
  /** Removes the listener from the request's abort signal. */
  stopListening: () => void;
}

/** Options of `createWaiter`. */
export interface WaiterOptions extends Pick<Waiter, 'request' | 'resolve' | 'reject'> {
  readonly admission: AdmissionDecision;
  readonly now: number;
}

/** Creates a waiter that is not yet in any queue. */
export function createWaiter({ request, admission, now, ...callbacks }: WaiterOptions): Waiter {
  return {
    ...callbacks,
    request,
    enteredAt: now,
    latestStartAt: request.deadlineAt - admission.neededMilliseconds,
    expectedWaitMilliseconds: admission.waitMilliseconds,
    heapIndex: -1,
    previous: undefined,
    next: undefined,
    stopListening: () => {},
  };
}

/** Calls `cancel` when the request is aborted, until `stopListening` is called. */
export function listenForAbort(waiter: Waiter, cancel: () => void): void {
  const listened = waiter;
  const { signal } = waiter.request;
  signal.addEventListener('abort', cancel, { once: true });
  listened.stopListening = () => signal.removeEventListener('abort', cancel);
}
