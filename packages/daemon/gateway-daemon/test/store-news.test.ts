import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { StoreNews } from '../src/store-news.js';

test('entries may have lapsed only after a time in which nobody reached the store', () => {
  const news = new StoreNews();
  news.note(0);
  news.note(1500);
  assert.ok(news.lapsedUntil < 1500);
  news.note(9000);
  assert.ok(news.lapsedUntil > 9000 + 2000);
});

test('news of others that are told late do not hide or begin an outage', () => {
  const news = new StoreNews();
  news.note(0);
  news.note(5000);
  const { lapsedUntil } = news;
  news.note(4900);
  news.note(5100);
  assert.equal(news.lapsedUntil, lapsedUntil);
});

test('a daemon that has just started knows of no outage', () => {
  const news = new StoreNews();
  news.note(100_000);
  assert.ok(news.lapsedUntil < 100_000);
});
