import type { ReportedLoad } from './forward-request.js';
import type { PoolReservation } from './pool-reservation.js';

/** Capacity of a group of endpoints as far as this daemon knows it. */
export interface GroupRoom {
  /** Slots that reports of at most a second ago show free, counting at most one of each endpoint: other daemons have read the same report. */
  readonly freeSlots: number;
  /** Slots of all endpoints that accept new requests. */
  readonly totalSlots: number;
  /** Slots of those endpoints that this daemon may send a request now; the others asked for a pause, or their limits are used. */
  readonly openSlots: number;
  /** Whether any endpoint has reported its load within the last second. */
  readonly isKnown: boolean;
}

/** One request for which an endpoint is to be reserved. */
export interface GatedCall {
  readonly requestId: string;
  readonly group: string;
  readonly route: string;
  readonly workspace: string;
  /** Priority of the workspace, else of the route; 0 is the highest. */
  readonly priority: number;
  readonly receivedAtMs: number;
  readonly objectiveAtMs: number;
  readonly deadlineAtMs: number;
  /** Size of the body in bytes. */
  readonly bytes: number;
  /** Names the endpoints of the group that the request may use; equal for those that may use the same ones. */
  readonly scope: string;
  /** Returns the milliseconds until one of these may be sent a request; undefined if one may be now, or none accepts new requests. */
  readonly closedForMs: (nowMs: number) => number | undefined;
  /** Throws `ForwardError` if the request is no longer admitted: its route or workspace was removed, its home regions exclude some that it had or are evacuated, or it was found to crash endpoints. */
  readonly recheck: () => void;
}

/** Place of one request among those in flight at its group. */
export interface GatePass {
  /**
   * Reserves an endpoint as soon as the request may be sent. `reserve` is called
   * at that moment, and the result is undefined if it finds none or the signal is
   * aborted first. Throws `ForwardError` if the request is refused.
   */
  reserve(
    reserve: (nowMs: number) => PoolReservation | undefined,
    signal: AbortSignal,
  ): Promise<PoolReservation | undefined>;
  /** Records that the first event of a stream or a complete response has arrived. */
  recordResponse(nowMs: number): void;
  /** Frees the place. */
  close(): void;
}

/** Decides when requests are sent that compete for the capacity of a group. */
export interface DispatchGate {
  open(call: GatedCall): GatePass;
  /** Records that an endpoint of the group rejected a request that was sent at `sentAtMs`; called once for each request. */
  recordRejection(group: string, sentAtMs: number): void;
}

/** Receives what endpoints tell of their load. */
export interface LoadObserver {
  recordLoad(group: string, load: ReportedLoad, nowMs: number): void;
}

/** Importance of a request of which only the head is known. */
export interface SheddableRequest {
  readonly priority: number;
  readonly objectiveAtMs: number;
  readonly deadlineAtMs: number;
}

/** Refuses requests that this daemon itself is too slow to forward. */
export interface DaemonShedder {
  /** Returns the milliseconds after which the caller may return if the request is to be refused; undefined if it is not. */
  refusedForMs(request: SheddableRequest, nowMs: number): number | undefined;
}
