/**
 * Result codes 1000 to 1999: settings, start-up and the command line.
 */
import { defineResult } from '../definition.js';

export const settingsResults = {
  SettingsUnreadable: defineResult(
    1001,
    500,
    'not-applicable',
    'The settings file could not be read.',
  ),
  SettingsSyntax: defineResult(1002, 500, 'not-applicable', 'The settings file is not valid TOML.'),
  SettingsInvalid: defineResult(
    1003,
    500,
    'not-applicable',
    'A setting is unknown, has the wrong type or unit, or contradicts another one.',
  ),
  ListenFailed: defineResult(
    1004,
    500,
    'not-applicable',
    'An address from the settings could not be bound.',
  ),
  QuestionnaireInvalid: defineResult(
    1005,
    400,
    'not-applicable',
    'The questionnaire answers are incomplete or contradict each other.',
  ),
  KeyFileInvalid: defineResult(
    1006,
    500,
    'not-applicable',
    'A key or certificate file could not be read or parsed.',
  ),
  AdministrationUnreachable: defineResult(
    1007,
    503,
    'not-applicable',
    'The administration API did not answer.',
  ),
  AdministrationAnswerInvalid: defineResult(
    1008,
    502,
    'not-applicable',
    'The answer is not one of the administration API.',
  ),
  OutputUnwritable: defineResult(
    1009,
    500,
    'not-applicable',
    'A file with output of a command could not be written.',
  ),
  ProcessStartFailed: defineResult(
    1051,
    500,
    'not-applicable',
    'A process of the local fleet ended or was not ready in time.',
  ),
  MeasurementUnknown: defineResult(
    1052,
    404,
    'not-applicable',
    'No measurement or example has this name.',
  ),
} as const;
