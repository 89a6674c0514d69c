/**
 * The dogwoodstall command.
 */
export {};
