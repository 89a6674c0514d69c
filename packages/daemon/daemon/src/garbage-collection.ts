/**
 * Settings of the garbage collector of a daemon process.
 */
import * as v8 from 'node:v8';

/**
 * Switches off the collections that V8 starts to shrink the heap of a process with little to do. In a
 * daemon without load they took a fifth of its processor time and returned no memory.
 */
export function keepHeapSize(): void {
  v8.setFlagsFromString('--no-memory-reducer');
}
