/**
 * The HTTP data path: request validation, streaming, TLS reload and forwarding between daemons.
 */
export {
  type CallerLimits,
  type EntryServerOptions,
  type TlsCredentials,
  EntryServer,
  READY_PATH,
} from './entry-server.js';
export { ANONYMOUS, KEY_PATH } from './caller-admission.js';
export { type ExchangeServerOptions, ExchangeServer } from './exchange-server.js';
export { type ForwardReceiverOptions, ForwardReceiver } from './forward-receiver.js';
export {
  type DispatchPlan,
  type DispatchTarget,
  type KeyLocation,
  type RequestRouterOptions,
  RequestRouter,
} from './request-router.js';
export { type DispatchRunnerOptions, DispatchRunner } from './dispatch-runner.js';
export { type AttemptResult, type BackendClientOptions, BackendClient } from './backend-client.js';
export { type ForwardResult, PeerForwarder } from './peer-forwarder.js';
export { type LinkMonitorOptions, type PeerTarget, HEARTBEAT_PATH } from './link.js';
export { LinkMonitor } from './link-monitor.js';
export { RetryBudget } from './retry-budget.js';
export { type Decision, type DecisionAttempt, DecisionRing } from './decision.js';
export { MAXIMUM_BUFFERED_BODY_BYTES } from './caller-body.js';
export { formatRawFailure, sendFailure } from './failure-response.js';
export {
  EXECUTION_HEADER,
  FLEET_HEADER_PREFIX,
  selectRequestHeaders,
  selectResponseHeaders,
} from './headers.js';
export { type CheckedRequest, checkRequest, classifyParserError } from './request-check.js';
