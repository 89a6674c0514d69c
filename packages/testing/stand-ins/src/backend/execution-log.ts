/**
 * The record of executions of one process. It is the only place where executions are counted; what a
 * daemon states about them is compared with it.
 */

/** The executions under one idempotency key. */
export interface KeyExecutions {
  started: number;
  finished: number;
  /** Names of the servers that started it, in order. */
  readonly servers: string[];
  readonly requestIds: string[];
}

/** One started work. */
export interface ExecutionStart {
  readonly server: string;
  readonly requestId: string | undefined;
  readonly idempotencyKey: string | undefined;
}

/** All executions since the start or the last clearing. */
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

  /** Returns how often work was started for a request id. */
  countStarts(requestId: string): number {
    return this.startsByRequestId.get(requestId) ?? 0;
  }

  clear(): void {
    this.byKey.clear();
    this.startsByRequestId.clear();
  }

  /** The log as plain objects for the control address. */
  toObject(): { keys: Record<string, KeyExecutions>; requests: Record<string, number> } {
    return {
      keys: Object.fromEntries(this.byKey),
      requests: Object.fromEntries(this.startsByRequestId),
    };
  }
}
