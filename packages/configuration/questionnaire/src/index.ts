/**
 * Generates a configuration from questionnaire answers, with a reason for each value.
 */
export {};
