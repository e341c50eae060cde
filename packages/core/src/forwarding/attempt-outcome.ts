import type { RawHeaders } from './forward-request.js';
import { AttemptVerdict } from './pool-reservation.js';
import type { ResponseShare } from './response-memory.js';

/** How one attempt ended. */
export enum AttemptEndKind {
  /** The complete response was forwarded to the caller or is buffered. */
  Answered = 'answered',
  /** No byte was sent to the endpoint. */
  NotSent = 'notSent',
  /** The endpoint states that it did not execute the request. */
  NotRun = 'notRun',
  /** Another endpoint answered on the address. */
  Misdirected = 'misdirected',
  /** The response is lost, invalid or truncated; the request may have been executed. */
  Failed = 'failed',
  /**
   * The endpoint was silent and another attempt takes over, or it only sent bytes
   * that complete no event; the request may have been executed.
   */
  Silent = 'silent',
  /** The request itself has ended: its caller disconnected or its deadline passed. */
  Cancelled = 'cancelled',
}

/** Complete response, buffered before it is forwarded. */
export interface BufferedResponse {
  readonly status: number;
  readonly headers: RawHeaders;
  readonly body: Uint8Array;
  /** To be closed once the body is sent or dropped. */
  readonly memory: Pick<ResponseShare, 'close'>;
}

/** What an attempt shows about whether its request crashes endpoints. */
export enum CrashEvidence {
  /** The response is complete, as its framing confirms. */
  Completed = 'completed',
  /** The connection was lost before the endpoint responded or as it began to. */
  MayHaveCrashed = 'mayHaveCrashed',
  Unknown = 'unknown',
}

export interface AttemptOutcome {
  readonly kind: AttemptEndKind;
  readonly crashEvidence: CrashEvidence;
  readonly reason?: string;
  /** Whether the endpoint had sent events of the stream before it failed. */
  readonly hasSentEvents?: boolean;
  /** Whether the endpoint was silent when the request itself ended. */
  readonly wasSilent?: boolean;
  /** Delay of the timer that found the endpoint silent: the time for which this daemon itself was held up. */
  readonly noticedLateMs?: number;
  readonly response?: BufferedResponse;
}

/** Lowest status that counts as an endpoint's own failure. */
const MIN_SERVER_ERROR_STATUS = 500;

/** Returns whether the response is a server error (5xx) of the endpoint. */
export function isEndpointError(
  response: BufferedResponse | undefined,
): boolean {
  return response !== undefined && response.status >= MIN_SERVER_ERROR_STATUS;
}

/** Returns whether the endpoint failed; undefined if the attempt's end says nothing about it. */
export function isFailure({
  response,
  kind,
  wasSilent,
}: AttemptOutcome): boolean | undefined {
  switch (kind) {
    case AttemptEndKind.Answered:
      return isEndpointError(response);
    case AttemptEndKind.Failed:
    case AttemptEndKind.Silent:
      return true;
    case AttemptEndKind.NotSent:
    case AttemptEndKind.NotRun:
    case AttemptEndKind.Misdirected:
      return undefined;
    case AttemptEndKind.Cancelled:
      return wasSilent === true ? true : undefined;
  }
}

/** Returns an outcome that shows nothing about crashes. */
export function endedAs(kind: AttemptEndKind): AttemptOutcome {
  return { kind, crashEvidence: CrashEvidence.Unknown };
}

/** Returns the outcome of an attempt whose response is lost or unusable. */
export function failed(reason: string): AttemptOutcome {
  return { ...endedAs(AttemptEndKind.Failed), reason };
}

/** Neither a close-delimited response nor an error shows that the endpoint survives the request. */
export function effectOfEnd(isProof: boolean): CrashEvidence {
  return isProof ? CrashEvidence.Completed : CrashEvidence.Unknown;
}

/** Returns what the outcome says about the endpoint; undefined if nothing. */
export function verdictOfResult({
  kind,
  response,
}: AttemptOutcome): AttemptVerdict | undefined {
  switch (kind) {
    case AttemptEndKind.Answered:
      return isEndpointError(response)
        ? AttemptVerdict.Failed
        : AttemptVerdict.Succeeded;
    case AttemptEndKind.NotSent:
    case AttemptEndKind.NotRun:
    case AttemptEndKind.Failed:
      return AttemptVerdict.Failed;
    // A silence is recorded when it begins.
    case AttemptEndKind.Silent:
    case AttemptEndKind.Misdirected:
    case AttemptEndKind.Cancelled:
      return undefined;
  }
}
