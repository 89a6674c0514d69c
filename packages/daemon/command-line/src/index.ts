/**
 * The dogwoodstall command.
 */
export { exitCodes, runProgram } from './program.js';
