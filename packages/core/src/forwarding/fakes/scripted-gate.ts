import assert from 'node:assert/strict';

import type {
  DispatchGate,
  ForwardError,
  GatedCall,
  GatePass,
  PoolReservation,
} from '../index.js';

/** Fake gate that holds every request until it is opened or refuses. */
export class ScriptedGate implements DispatchGate {
  readonly calls: GatedCall[] = [];
  /** Number of places that were freed. */
  closed = 0;
  /** Number of rejections that were counted. */
  rejections = 0;
  private readonly waiting: {
    readonly send: () => void;
    readonly refuse: (error: ForwardError) => void;
  }[] = [];

  open(call: GatedCall): GatePass {
    this.calls.push(call);
    return {
      reserve: (reserve, signal) =>
        new Promise<PoolReservation | undefined>((resolve, reject) => {
          const send = () => {
            try {
              resolve(reserve(call.receivedAtMs));
            } catch (error) {
              assert.ok(error instanceof Error);
              reject(error);
            }
          };
          signal.addEventListener('abort', () => {
            resolve(undefined);
          });
          this.waiting.push({ send, refuse: reject });
        }),
      recordResponse: () => undefined,
      close: () => {
        this.closed += 1;
      },
    };
  }

  recordRejection(): void {
    this.rejections += 1;
  }

  /** Lets the oldest request go. */
  sendNext(): void {
    this.waiting.shift()?.send();
  }

  refuseNext(error: ForwardError): void {
    this.waiting.shift()?.refuse(error);
  }
}
