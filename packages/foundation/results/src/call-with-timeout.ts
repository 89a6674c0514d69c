/**
 * Timeouts of calls. `AbortSignal.timeout` combined with `AbortSignal.any` is not reliable in Node.js 20: the combined
 * signal does not keep the timeout signal alive, so that the timeout is lost when garbage is collected.
 */

/**
 * Runs a call with a signal that is aborted after a timeout or together with `parent`. Settles as the call does; a call
 * that ignores the signal is not interrupted, unless it uses `rejectOnAbort`.
 */
export async function callWithTimeout<Value>(
  milliseconds: number,
  parent: AbortSignal,
  call: (signal: AbortSignal) => Promise<Value>,
): Promise<Value> {
  const controller = new AbortController();
  const onParentAbort = (): void => controller.abort(parent.reason);
  if (parent.aborted) {
    onParentAbort();
  }
  parent.addEventListener('abort', onParentAbort, { once: true });
  const timer = setTimeout(
    () => controller.abort(new Error(`no response within ${milliseconds} ms`)),
    milliseconds,
  );
  try {
    return await call(controller.signal);
  } finally {
    clearTimeout(timer);
    parent.removeEventListener('abort', onParentAbort);
  }
}
