/**
 * Entry point of the program `dogwoodstall`.
 */
import { runProgram } from './program.js';

// A reader such as `head` may close the pipe early. EPIPE is ignored, so that the command
// completes.
process.stdout.on('error', (error: NodeJS.ErrnoException) => {
  if (error.code !== 'EPIPE') {
    throw error;
  }
});

process.exitCode = await runProgram(process.argv.slice(2));
