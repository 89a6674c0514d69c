/**
 * The program `dogwoodstall`.
 */
import { runProgram } from './program.js';

process.exitCode = await runProgram(process.argv.slice(2));
