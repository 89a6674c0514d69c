/**
 * Generates a configuration from questionnaire answers, with a reason for each value.
 */
export { type Answers, type AnswersInput, type ServiceAnswers, answersSchema } from './answers.js';
export { type Plan, type PlanReason, generatePlan, parseAnswers } from './plan.js';
export { findContradictions } from './contradictions.js';
