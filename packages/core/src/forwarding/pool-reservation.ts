import type { LogFields } from '../ports/index.js';
import type { EndpointRecord } from './endpoint-record.js';
import type { EndpointStatements, ReportedLoad } from './forward-request.js';

/** Endpoint from which another one fetches a prompt. */
export interface PromptSource {
  readonly endpoint: EndpointRecord;
  /** Tokens that are expected to be transferred. */
  readonly tokens: number;
}

/** Reservation of an endpoint for one attempt, held until it is released. */
export interface PoolReservation {
  readonly endpoint: EndpointRecord;
  /** Whether the endpoint is a peer that makes the attempt for this daemon. */
  readonly isPeer?: boolean;
  /** Aborted once the endpoint is known to have lost what it ran; absent for a peer. */
  readonly lifetime?: AbortSignal;
  /** Whether the request may still be written to the endpoint, unless this daemon withholds it anyway; absent for a peer, which decides by itself. */
  readonly mayWrite?: (isWithheld?: boolean) => boolean;
  /** Endpoint from which the reserved one is to fetch the prompt; absent if from none. */
  readonly promptSource?: PromptSource;
  /** Returns why the endpoint was chosen, for the log; absent for a peer. */
  readonly placementFields?: () => LogFields;
  /** Records that the first event of a stream or a complete response has arrived, so that its prompt is prefilled. */
  recordFirstEvent(nowMs: number): void;
  /** Records events of a stream, the first ones included; absent for a peer. */
  recordEvents?(count: number): void;
  recordLoad(load: ReportedLoad, nowMs: number): void;
  /** Records what the head of a valid response, or of a rejection of the request, says of the endpoint. */
  recordStatements(statements: EndpointStatements, isRejection: boolean): void;
  /** Records that a response of the endpoint says that it is leaving. */
  recordLeaving(): void;
  /** Records that a response of the endpoint asks this daemon to send nothing for a while. */
  recordPause(pauseMs: number): void;
  /** Records for how long a response of the endpoint says that it stays cold. */
  recordCold(coldForMs: number): void;
  /** Records that the endpoint has fallen silent, which counts as a failed attempt. */
  recordSilence(nowMs: number): void;
  /** Ends the reservation. `verdict` is undefined if the result says nothing about the endpoint. */
  release(verdict: AttemptVerdict | undefined, nowMs: number): void;
}

export enum AttemptVerdict {
  Succeeded = 'succeeded',
  Failed = 'failed',
}
