#!/usr/bin/env node
/**
 * Starts the built program.
 */
import '@dogwoodstall/command-line/bin';
