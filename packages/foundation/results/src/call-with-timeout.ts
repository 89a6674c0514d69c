/**
 * Time limits of calls. `AbortSignal.timeout` is not used for them: a signal that `AbortSignal.any` makes of it does not
 * keep it alive, so that the limit is lost with the next garbage collection (Node.js 20).
 */

/** Passes a signal to a call that is aborted after a time or together with `parent`; resolves as the call does. */
export async function callWithTimeout<Value>(
  milliseconds: number,
  parent: AbortSignal,
  call: (signal: AbortSignal) => Promise<Value>,
): Promise<Value> {
  const controller = new AbortController();
  const onAbort = (): void => controller.abort(parent.reason);
  if (parent.aborted) {
    onAbort();
  }
  parent.addEventListener('abort', onAbort, { once: true });
  const timer = setTimeout(
    () => controller.abort(new Error(`no answer within ${milliseconds} ms`)),
    milliseconds,
  );
  try {
    return await call(controller.signal);
  } finally {
    clearTimeout(timer);
    parent.removeEventListener('abort', onAbort);
  }
}
