import type {
  DispatchGate,
  GatedCall,
  GatePass,
  GroupRoom,
  LoadObserver,
  PoolReservation,
  ReportedLoad,
} from '../forwarding/index.js';
import type { Clock, Log, Metrics, Random } from '../ports/index.js';
import { GroupGate } from './group-gate.js';
import type { GroupQueueState } from './queue-state.js';
import type { QueueLimits } from './queued-request.js';

export interface QueueGateDependencies {
  readonly clock: Clock;
  /** Resolves after all connections have been polled once more. */
  readonly nextPoll: () => Promise<void>;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly random: Random;
  readonly limits: () => QueueLimits;
  readonly daemonCount: () => number;
  /** Returns the capacity of a group. */
  readonly room: (group: string, nowMs: number) => GroupRoom;
  /** Whether this daemon reaches no endpoint of a group; its requests then go through peers. */
  readonly isCutOff: (group: string) => boolean;
  /** Returns the version of the configuration in force. */
  readonly configurationVersion: () => number;
}

/** Queues of all groups at this daemon. */
export class QueueGate implements DispatchGate, LoadObserver {
  private readonly gates = new Map<string, GroupGate>();
  private isStopping = false;
  private calls = 0;

  constructor(private readonly deps: QueueGateDependencies) {}

  open(call: GatedCall): GatePass {
    const gate = this.gateOf(call.group);
    this.calls += 1;
    // A caller may send requests with one id at the same time.
    const key = `${call.requestId}/${this.calls}`;
    return {
      reserve: (reserve, signal) =>
        gate.reserve(key, call, reserve, signal, this.isStopping),
      recordResponse: nowMs => {
        gate.recordResponse(key, nowMs);
      },
      close: () => {
        gate.close(key);
      },
    };
  }

  recordLoad(group: string, load: ReportedLoad, nowMs: number): void {
    this.gates.get(group)?.recordLoad(load, nowMs);
  }

  recordRejection(group: string, sentAtMs: number): void {
    this.gates.get(group)?.recordRejection(sentAtMs);
  }

  /** Refuses the waiting requests, and from now on all that would have to wait, so that their callers reach another daemon. */
  startStopping(): void {
    this.isStopping = true;
    for (const gate of this.gates.values()) gate.refuseWaiting();
  }

  /** Refuses the waiting requests that are no longer admitted. */
  recheckWaiting(): void {
    for (const gate of this.gates.values()) gate.recheckWaiting();
  }

  /** Returns the state of the queue of each group that had requests, for the operators. */
  dumpState(nowMs: number): readonly GroupQueueState[] {
    return [...this.gates.values()].map(gate => gate.dumpState(nowMs));
  }

  private gateOf(group: string): GroupGate {
    let gate = this.gates.get(group);
    if (gate === undefined) {
      gate = new GroupGate(group, this.deps);
      this.gates.set(group, gate);
    }
    return gate;
  }
}

export type Reserve = (nowMs: number) => PoolReservation | undefined;
