/**
 * CPU time and memory of a process, as the kernel counts them.
 */
import * as fileSystem from 'node:fs/promises';

// Ticks of the kernel's process statistics; 100 per second on every supported platform.
const TICK_MICROSECONDS = 10_000;
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

/** Returns the CPU time that a process has used, in microseconds; 0 for a process that has ended. */
export async function readCpuMicroseconds(processId: number | undefined): Promise<number> {
  try {
    const text = await fileSystem.readFile(`/proc/${processId}/stat`, 'utf8');
    // The command in parentheses may contain spaces.
    const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
    const ticks = Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD]);
    return ticks * TICK_MICROSECONDS;
  } catch {
    return 0;
  }
}
