/**
 * The platform's key-value store: range reads, watches and transactions by its published protocol, in memory.
 */
import * as http from 'node:http';

const PAGE_ITEMS = 500;

function encode(value) {
  return Buffer.from(JSON.stringify(value)).toString('base64');
}

/** Serves one store; the operator and the endpoints write through `put` and `remove`. */
export class Store {
  revision = 1;

  items = new Map();

  events = [];

  waiting = new Set();

  server = http.createServer((request, response) => {
    this.handle(request, response).catch(() => response.destroy());
  });

  async listen(host) {
    await new Promise((resolve) => {
      this.server.listen(0, host, resolve);
    });
    this.address = `${host}:${this.server.address().port}`;
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  put(key, value) {
    this.putEncoded(key, encode(value));
  }

  remove(key) {
    if (this.items.delete(key)) {
      this.revision += 1;
      this.announce({ key, rev: this.revision, removed: true });
    }
  }

  putEncoded(key, value, lease = 0) {
    this.revision += 1;
    const created = this.items.get(key)?.created_rev ?? this.revision;
    const item = { key, value, rev: this.revision, created_rev: created, lease };
    this.items.set(key, item);
    this.announce(item);
  }

  announce(event) {
    this.events.push(event);
    for (const wake of [...this.waiting]) {
      wake();
    }
  }

  async handle(request, response) {
    const url = new URL(request.url, 'http://store');
    const query = url.searchParams;
    let text = '';
    for await (const chunk of request) {
      text += chunk;
    }
    const send = (status, body) => {
      const bytes = Buffer.from(JSON.stringify(body));
      response.writeHead(status, {
        'Content-Type': 'application/json',
        'Content-Length': bytes.length,
      });
      response.end(bytes);
    };
    if (url.pathname === '/-/kv-range') {
      const after = query.get('after') ?? '';
      const items = [...this.items.values()]
        .filter(({ key }) => key.startsWith(query.get('prefix')) && key > after)
        .sort((left, right) => (left.key < right.key ? -1 : 1));
      send(200, {
        items: items.slice(0, PAGE_ITEMS),
        has_more: items.length > PAGE_ITEMS,
        current_rev: this.revision,
      });
    } else if (url.pathname === '/-/kv-key') {
      const item = this.items.get(query.get('key'));
      send(item ? 200 : 404, { ...item, current_rev: this.revision });
    } else if (url.pathname === '/-/kv-watch') {
      const after = Number(query.get('after'));
      const events = await this.waitForEvents(
        query.get('prefix'),
        after,
        Number(query.get('wait_ms')),
      );
      send(200, { events, current_rev: this.revision });
    } else if (url.pathname === '/-/kv-txn') {
      const { expected_rev: expected, writes, deletes } = JSON.parse(text);
      const isCurrent = expected.every(({ key, rev }) => (this.items.get(key)?.rev ?? 0) === rev);
      if (!isCurrent) {
        send(412, { items: expected.flatMap(({ key }) => this.items.get(key) ?? []) });
        return;
      }
      for (const { key, value, lease } of writes) {
        this.putEncoded(key, value, lease);
      }
      deletes.forEach((key) => this.remove(key));
      send(200, { rev: this.revision });
    } else {
      send(404, {});
    }
  }

  async waitForEvents(prefix, after, milliseconds) {
    const until = performance.now() + milliseconds;
    for (;;) {
      const events = this.events.filter(({ key, rev }) => rev > after && key.startsWith(prefix));
      const left = until - performance.now();
      if (events.length > 0 || left <= 0) {
        return events;
      }
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, left);
        this.waiting.add(wake);
      });
    }
  }
}
