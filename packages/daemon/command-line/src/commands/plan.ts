/**
 * `dogwoodstall plan`: generates a change file from questionnaire answers.
 */
import * as cmd from 'cmd-ts';
import * as questionnaire from '@dogwoodstall/questionnaire';
import * as settings from '@dogwoodstall/settings';
import { formatChangeFile, writeTextFile } from '../change-file.js';
import { jsonFlag } from '../options.js';
import { formatTable, printData, printLine } from '../output.js';

function printPlan(plan: questionnaire.Plan): void {
  const rows = plan.reasons.map(({ entity, field, value, reason }) => [
    entity,
    field,
    String(value),
    reason,
  ]);
  printLine(formatTable([['ENTITY', 'FIELD', 'VALUE', 'REASON'], ...rows]));
  for (const warning of plan.warnings) {
    printLine(`warning: ${warning}`);
  }
}

/** Generates a change file and prints the reason for each value. */
export const planCommand = cmd.command({
  name: 'plan',
  description: 'Generate a configuration from questionnaire answers and print the reasons',
  args: {
    file: cmd.positional({ displayName: 'ANSWERS', description: 'TOML file with the answers' }),
    output: cmd.option({
      long: 'output',
      type: cmd.optional(cmd.string),
      description: 'change file to write, for `configuration apply`',
    }),
    json: jsonFlag,
  },
  handler: async ({ file, output, json }) => {
    const answers = questionnaire.parseAnswers(await settings.readTextFile(file), file);
    const plan = questionnaire.generatePlan(answers);
    if (output !== undefined) {
      const reason = `plan for ${answers.organisation.name} from its questionnaire`;
      const { operations } = plan;
      await writeTextFile(output, formatChangeFile({ reason, operations }));
    }
    if (json) {
      printData(plan);
      return;
    }
    printPlan(plan);
    printLine(
      output === undefined
        ? 'no change file was written; give --output FILE'
        : `${output}: ${plan.operations.length} operations written`,
    );
  },
});
