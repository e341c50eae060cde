import type { ServerResponse } from 'node:http';

import { RunEndedError, RunEndReason } from '@skylarkreach/core/pipeline';
import type { RequestIdentity } from '@skylarkreach/core/streams';

/** Daemon at which a caller continues its request after the hand-off. */
export interface Successor {
  /** URL of the other daemon; undefined if none is known. */
  readonly callerUrl: string | undefined;
  /** Whether the request had started, so that a record exists. */
  readonly hasRecord: boolean;
}

/** Response that a caller is waiting for. */
export class OpenResponse {
  private readonly controller = new AbortController();
  private resolveSuccessor: (successor: Successor) => void = () => undefined;
  private resolveStopped: () => void = () => undefined;
  private hasHandOffBegun = false;
  /** Resolves once the handler has stopped writing. */
  readonly stopped: Promise<void>;
  /** Resolves with the daemon to which the caller is redirected. */
  readonly successor: Promise<Successor>;

  constructor(
    readonly name: RequestIdentity,
    response: ServerResponse,
    endOnClose: RunEndReason,
  ) {
    this.stopped = new Promise(resolve => {
      this.resolveStopped = resolve;
    });
    this.successor = new Promise(resolve => {
      this.resolveSuccessor = resolve;
    });
    response.on('close', () => {
      if (response.writableFinished) return;
      this.controller.abort(new RunEndedError(endOnClose));
    });
  }

  /** Aborted once the caller disconnects or the request is handed off. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  get isHandedOff(): boolean {
    return this.hasHandOffBegun;
  }

  /** Stops reading the answer; the engine continues to generate it. */
  beginHandOff(): void {
    if (this.signal.aborted) return;
    this.hasHandOffBegun = true;
    this.controller.abort(new RunEndedError(RunEndReason.Detached));
  }

  finishHandOff(successor: Successor): void {
    this.resolveSuccessor(successor);
  }

  markStopped(): void {
    this.resolveStopped();
  }
}

/** All responses that callers of this daemon are waiting for. */
export class OpenResponses {
  private readonly responses = new Set<OpenResponse>();
  private idleListeners: (() => void)[] = [];

  get size(): number {
    return this.responses.size;
  }

  all(): readonly OpenResponse[] {
    return [...this.responses];
  }

  /** Runs `work` and keeps its response in the set of open ones meanwhile. */
  async track(
    name: RequestIdentity,
    response: ServerResponse,
    endOnClose: RunEndReason,
    work: (openResponse: OpenResponse) => Promise<void>,
  ): Promise<void> {
    const openResponse = new OpenResponse(name, response, endOnClose);
    this.responses.add(openResponse);
    try {
      await work(openResponse);
    } finally {
      openResponse.markStopped();
      this.responses.delete(openResponse);
      if (this.responses.size === 0) this.notifyIdle();
    }
  }

  /** Resolves once no response is open. */
  whenIdle(): Promise<void> {
    if (this.responses.size === 0) return Promise.resolve();
    return new Promise(resolve => {
      this.idleListeners.push(resolve);
    });
  }

  private notifyIdle(): void {
    const listeners = this.idleListeners;
    this.idleListeners = [];
    for (const listener of listeners) listener();
  }
}
