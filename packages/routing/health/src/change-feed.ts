/**
 * A `most` stream that is fed by plain calls.
 */
import * as most from 'most';

/** A stream and the function that feeds it; what is published without an observer is dropped. */
export class ChangeFeed<Value> {
  readonly stream: most.Stream<Value>;

  private readonly subscribers = new Set<most.Subscriber<Value>>();

  constructor() {
    // most reads sources of other libraries through the symbol of the observable proposal, which it
    // defines on `Symbol` where the engine lacks it.
    const key = (Symbol as unknown as { readonly observable: symbol }).observable;
    const source = { [key]: () => ({ subscribe: this.subscribe.bind(this) }) };
    this.stream = most.from(source as unknown as most.Observable<Value>);
  }

  /** Hands a value to every observer of the stream. */
  publish(value: Value): void {
    for (const subscriber of this.subscribers) {
      subscriber.next(value);
    }
  }

  private subscribe(subscriber: most.Subscriber<Value>): { unsubscribe: () => void } {
    this.subscribers.add(subscriber);
    return { unsubscribe: () => this.subscribers.delete(subscriber) };
  }
}
