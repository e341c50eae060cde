import type { ServerResponse } from 'node:http';

import { RunEndedError, RunEndReason } from '@skylarkreach/core/pipeline';
import type { RequestIdentity } from '@skylarkreach/core/streams';

/** Where a caller goes on after this daemon has let go of its request. */
export interface Successor {
  /** URL of the other daemon; undefined where none is known. */
  readonly callerUrl: string | undefined;
  /** Whether the work had begun, so that a record exists. */
  readonly hasRecord: boolean;
}

/** One caller who waits for an answer. */
export class OpenResponse {
  private readonly controller = new AbortController();
  private pointCaller: (successor: Successor) => void = () => undefined;
  private markStopped: () => void = () => undefined;
  private handingOff = false;
  /** Resolves once the handler has stopped writing. */
  readonly stopped: Promise<void>;
  /** Resolves with the daemon to point the caller to. */
  readonly successor: Promise<Successor>;

  constructor(
    readonly name: RequestIdentity,
    response: ServerResponse,
    endOnClose: RunEndReason,
  ) {
    this.stopped = new Promise(resolve => {
      this.markStopped = resolve;
    });
    this.successor = new Promise(resolve => {
      this.pointCaller = resolve;
    });
    response.on('close', () => {
      if (response.writableFinished) return;
      this.controller.abort(new RunEndedError(endOnClose));
    });
  }

  /** Aborted once the caller is gone or the request is handed off. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  get isHandedOff(): boolean {
    return this.handingOff;
  }

  /** Stops following the answer; the engine goes on. */
  beginHandOff(): void {
    if (this.signal.aborted) return;
    this.handingOff = true;
    this.controller.abort(new RunEndedError(RunEndReason.Detached));
  }

  finishHandOff(successor: Successor): void {
    this.pointCaller(successor);
  }

  stop(): void {
    this.markStopped();
  }
}

/** Every caller who waits for an answer of this daemon. */
export class OpenResponses {
  private readonly open = new Set<OpenResponse>();
  private idleListeners: (() => void)[] = [];

  get size(): number {
    return this.open.size;
  }

  all(): readonly OpenResponse[] {
    return [...this.open];
  }

  /** Runs `work` as one open response. */
  async track(
    name: RequestIdentity,
    response: ServerResponse,
    endOnClose: RunEndReason,
    work: (open: OpenResponse) => Promise<void>,
  ): Promise<void> {
    const open = new OpenResponse(name, response, endOnClose);
    this.open.add(open);
    try {
      await work(open);
    } finally {
      open.stop();
      this.open.delete(open);
      if (this.open.size === 0) this.notifyIdle();
    }
  }

  /** Resolves once no caller waits. */
  idle(): Promise<void> {
    if (this.open.size === 0) return Promise.resolve();
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
