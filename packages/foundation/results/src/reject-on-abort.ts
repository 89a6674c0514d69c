/**
 * Calls that end with their signal. The HTTP client heeds a signal only once the connection is established: a request
 * that waits for its connection, or for a free one, ignores it until then.
 */

/**
 * Settles as a call does, or rejects with the reason of the signal as soon as that is aborted. A call that ignores the
 * signal goes on, and its outcome is dropped.
 */
export function rejectOnAbort<Value>(signal: AbortSignal, call: Promise<Value>): Promise<Value> {
  return new Promise((resolve, reject) => {
    const onAbort = (): void => reject(signal.reason);
    if (signal.aborted) {
      onAbort();
    } else {
      signal.addEventListener('abort', onAbort, { once: true });
    }
    call.then(resolve, reject).finally(() => signal.removeEventListener('abort', onAbort));
  });
}
