/**
 * The program `dogwoodstall`.
 */
import { runProgram } from './program.js';

// The reader of a pipe, such as `head`, may end first; the command itself goes on.
process.stdout.on('error', (error: NodeJS.ErrnoException) => {
  if (error.code !== 'EPIPE') {
    throw error;
  }
});

process.exitCode = await runProgram(process.argv.slice(2));
