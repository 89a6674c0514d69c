/**
 * Log of the executions on all backend server stand-ins of one process. It is the only place where
 * executions are counted; the execution states that daemons report are checked against it.
 */

/** Executions of requests with the same idempotency key. */
export interface KeyExecutions {
  started: number;
  finished: number;
  /** Names of the servers that started an execution, in order. */
  readonly servers: string[];
  readonly requestIds: string[];
}

/** The start of one execution. */
export interface ExecutionStart {
  readonly server: string;
  readonly requestId: string | undefined;
  readonly idempotencyKey: string | undefined;
}

/** Counts executions by idempotency key and by request id, until `clear` is called. */
export class ExecutionLog {
  private readonly byKey = new Map<string, KeyExecutions>();

  private readonly startsByRequestId = new Map<string, number>();

  recordStart(start: ExecutionStart): void {
    if (start.requestId !== undefined) {
      const starts = this.startsByRequestId.get(start.requestId) ?? 0;
      this.startsByRequestId.set(start.requestId, starts + 1);
    }
    if (start.idempotencyKey === undefined) {
      return;
    }
    let executions = this.byKey.get(start.idempotencyKey);
    if (executions === undefined) {
      executions = { started: 0, finished: 0, servers: [], requestIds: [] };
      this.byKey.set(start.idempotencyKey, executions);
    }
    executions.started += 1;
    executions.servers.push(start.server);
    executions.requestIds.push(start.requestId ?? '');
  }

  recordFinish(start: ExecutionStart): void {
    const executions = this.byKey.get(start.idempotencyKey ?? '');
    if (executions !== undefined) {
      executions.finished += 1;
    }
  }

  findKey(key: string): KeyExecutions | undefined {
    return this.byKey.get(key);
  }

  /** Returns the number of executions that were started for a request id. */
  countStarts(requestId: string): number {
    return this.startsByRequestId.get(requestId) ?? 0;
  }

  clear(): void {
    this.byKey.clear();
    this.startsByRequestId.clear();
  }

  /** Returns the log as plain objects, which the control address sends as JSON. */
  toObject(): { keys: Record<string, KeyExecutions>; requests: Record<string, number> } {
    return {
      keys: Object.fromEntries(this.byKey),
      requests: Object.fromEntries(this.startsByRequestId),
    };
  }
}
