/**
 * CPU time of a process, read from `/proc`.
 */
import * as fileSystem from 'node:fs/promises';

// Length of a clock tick in `/proc/PID/stat`: USER_HZ is 100 on every supported platform.
const TICK_MICROSECONDS = 10_000;
// Positions of utime and stime, counted from the field after the command.
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

/** Returns the user and system CPU time of a process in microseconds; 0 for a process that has exited. */
export async function readCpuMicroseconds(processId: number | undefined): Promise<number> {
  try {
    const text = await fileSystem.readFile(`/proc/${processId}/stat`, 'utf8');
    // The command, in parentheses, may contain spaces, so fields are split after the last parenthesis.
    const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
    const ticks = Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD]);
    return ticks * TICK_MICROSECONDS;
  } catch {
    return 0;
  }
}
