/**
 * xxHash of strings and streams. The WebAssembly module is compiled once, when this module is loaded.
 */
import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/** Returns the 64-bit xxHash of a text. */
export function hashText64(text: string): bigint {
  return hasher.h64(text);
}

/** Returns the 32-bit xxHash of a text. */
export function hashText32(text: string, seed = 0): number {
  return hasher.h32(text, seed);
}

/** An incremental 64-bit hash, for streamed bodies. */
export interface StreamHash {
  update(chunk: Uint8Array | string): StreamHash;
  digest(): bigint;
}

/** Starts an incremental 64-bit hash. */
export function createStreamHash64(): StreamHash {
  return hasher.create64();
}
