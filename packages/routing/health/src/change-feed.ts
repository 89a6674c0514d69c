/**
 * A `most` stream to which values are pushed by method calls.
 */
import * as most from 'most';

/** A stream with a method that publishes values; values without an observer are dropped. */
export class ChangeFeed<Value> {
  readonly stream: most.Stream<Value>;

  private readonly subscribers = new Set<most.Subscriber<Value>>();

  constructor() {
    // most accepts foreign observables by the `Symbol.observable` of the TC39 proposal, which it
    // defines if the engine doesn't.
    const key = (Symbol as unknown as { readonly observable: symbol }).observable;
    const source = { [key]: () => ({ subscribe: this.subscribe.bind(this) }) };
    this.stream = most.from(source as unknown as most.Observable<Value>);
  }

  /** Emits a value to every observer. */
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
