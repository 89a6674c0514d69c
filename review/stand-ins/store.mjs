/**
 * Stand-in for the platform's store. It keeps items, a revision counter and the full history in memory, and has one
 * address for each daemon, so that it knows who calls and single daemons can be cut off from it.
 */
import * as http from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';

const ANSWER_MILLISECONDS = 4;
const PAGE_ITEMS = 500;

async function readJson(request) {
  let text = '';
  for await (const chunk of request) {
    text += String(chunk);
  }
  return JSON.parse(text);
}

export class Store {
  revision = 100;

  items = new Map();

  history = [];

  waiting = new Set();

  servers = [];

  /** Names of the daemons whose calls and answers are dropped. */
  cut = new Set();

  /** Number of calls with which each daemon has read or watched the endpoints. */
  reads = new Map();

  /** Returns the address of the store for one daemon. */
  async listenFor(daemon, host) {
    const server = http.createServer((request, response) => {
      this.answer(daemon, request, response).catch(() => response.destroy());
    });
    this.servers.push(server);
    await new Promise((resolve) => {
      server.listen(0, host, resolve);
    });
    return `${host}:${server.address().port}`;
  }

  close() {
    for (const server of this.servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  put(key, value) {
    this.putEncoded(key, Buffer.from(JSON.stringify(value)).toString('base64'), 0);
  }

  putEncoded(key, value, lease) {
    this.revision += 1;
    const created = this.items.get(key)?.created_rev ?? this.revision;
    const item = { key, value, rev: this.revision, created_rev: created, lease };
    this.items.set(key, item);
    this.record(item);
  }

  remove(key) {
    if (this.items.delete(key)) {
      this.revision += 1;
      this.record({ key, rev: this.revision, removed: true });
    }
  }

  record(event) {
    this.history.push(event);
    for (const wake of this.waiting) {
      wake();
    }
  }

  async answer(daemon, request, response) {
    const url = new URL(request.url, 'http://store');
    if (this.cut.has(daemon)) {
      return;
    }
    const [status, body] = await this.execute(daemon, request, url);
    await delay(ANSWER_MILLISECONDS);
    if (this.cut.has(daemon)) {
      return;
    }
    response.writeHead(status, { 'Content-Type': 'application/json' });
    response.end(JSON.stringify(body));
  }

  async execute(daemon, request, url) {
    const query = url.searchParams;
    const prefix = query.get('prefix') ?? '';
    if (prefix === 'servers/') {
      this.reads.set(daemon, (this.reads.get(daemon) ?? 0) + 1);
    }
    if (url.pathname === '/-/kv-key') {
      const item = this.items.get(query.get('key'));
      return item === undefined ? [404, {}] : [200, { ...item, current_rev: this.revision }];
    }
    if (url.pathname === '/-/kv-range') {
      return [200, this.readPage(prefix, query.get('after') ?? '')];
    }
    if (url.pathname === '/-/kv-watch') {
      return [200, await this.watch(prefix, Number(query.get('after')), query.get('wait_ms'))];
    }
    if (url.pathname === '/-/kv-txn') {
      return this.commit(await readJson(request));
    }
    return [404, {}];
  }

  readPage(prefix, after) {
    const keys = [...this.items.keys()].filter((key) => key.startsWith(prefix) && key > after);
    const page = keys.sort().slice(0, PAGE_ITEMS);
    const items = page.map((key) => this.items.get(key));
    return { items, has_more: keys.length > page.length, current_rev: this.revision };
  }

  async watch(prefix, after, waitMilliseconds) {
    const endsAt = performance.now() + Number(waitMilliseconds);
    for (;;) {
      const events = this.history.filter(({ key, rev }) => rev > after && key.startsWith(prefix));
      const left = endsAt - performance.now();
      if (events.length > 0 || left <= 0) {
        return { events, current_rev: this.revision };
      }
      await new Promise((resolve) => {
        const wake = () => {
          this.waiting.delete(wake);
          resolve();
        };
        this.waiting.add(wake);
        setTimeout(wake, left);
      });
    }
  }

  commit({ expected_rev: expected = [], writes = [], deletes = [] }) {
    const differs = expected.some(({ key, rev }) => (this.items.get(key)?.rev ?? 0) !== rev);
    if (differs) {
      const items = expected.map(({ key }) => this.items.get(key)).filter(Boolean);
      return [412, { items }];
    }
    for (const { key, value, lease } of writes) {
      this.putEncoded(key, value, lease ?? 0);
    }
    for (const key of deletes) {
      this.remove(key);
    }
    return [200, { rev: this.revision }];
  }
}
