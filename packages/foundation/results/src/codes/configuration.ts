/**
 * Result codes 6000 to 6999: configuration and administration.
 */
import { defineResult } from '../definition.js';

export const configurationResults = {
  ConfigurationInvalid: defineResult(
    6001,
    400,
    'not-applicable',
    'The change does not fit the schema of the configuration.',
  ),
  ConfigurationReference: defineResult(
    6002,
    400,
    'not-applicable',
    'The change refers to something that does not exist or would leave a dangling reference.',
  ),
  ConfigurationConflict: defineResult(
    6003,
    409,
    'not-applicable',
    'Another change was accepted first.',
  ),
  ConfigurationFloor: defineResult(
    6004,
    400,
    'not-applicable',
    'The change would leave less capacity than the contract promises.',
  ),
  ConfigurationUnavailable: defineResult(
    6005,
    503,
    'not-applicable',
    'The store can not be reached; the change was not accepted.',
  ),
  ConfigurationOutcomeUnknown: defineResult(
    6006,
    504,
    'not-applicable',
    'The store did not confirm the change; ask again with the same change id.',
  ),
  AdministrationUnauthenticated: defineResult(
    6007,
    401,
    'not-applicable',
    'The administration token is missing or unknown.',
  ),
  AdministrationForbidden: defineResult(
    6008,
    403,
    'not-applicable',
    'The token has no authority over this organisation.',
  ),
  ConfigurationNotFound: defineResult(
    6009,
    404,
    'not-applicable',
    'The named entity or revision does not exist.',
  ),
  ConfigurationTooLarge: defineResult(
    6010,
    413,
    'not-applicable',
    'The change exceeds the size of one value in the store.',
  ),
  AdministrationRequestInvalid: defineResult(
    6011,
    400,
    'not-applicable',
    'The administration request is malformed.',
  ),
} as const;
