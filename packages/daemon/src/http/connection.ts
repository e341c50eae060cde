import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import type { Clock } from '@skylarkreach/core/ports';

import { InputMeter } from './input-meter.js';
import { TrackedResponse } from './tracked-response.js';

/** Why this daemon ended a connection. */
export enum ConnectionEnd {
  /** No request came within the idle timeout. */
  Idle = 'idle',
  /** The last response of a daemon that is stopping was sent. */
  Drained = 'drained',
  /** The daemon closed its remaining connections. */
  Stopped = 'stopped',
  /** The bytes received were no valid request, or came too slowly. */
  Rejected = 'rejected',
  /** A response was cut, so that the caller sees that it is incomplete. */
  Aborted = 'aborted',
  /** The callers' connections, or the requests on this one, exceed a limit of this daemon. */
  OverLimit = 'overLimit',
}

/** Ends of connections that this daemon did not decide on. */
export enum OtherEnd {
  Caller = 'caller',
  /** The HTTP server closed the connection after a response that said so. */
  Server = 'server',
}

interface EndRecord {
  readonly reason: ConnectionEnd;
  readonly atMs: number;
}

export interface PastEnd {
  readonly reason: ConnectionEnd;
  readonly agoMs: number;
}

/** Time since the last response on a connection. */
interface IdlePeriod {
  readonly startedAtMs: number;
  /** Time until which the caller was told that it may reuse the connection. */
  readonly toldUntilMs: number;
}

/** Bytes read on a connection, and the time at which they were seen. */
interface Input {
  readonly bytes: number;
  readonly seenAtMs: number;
}

/** What is known of one connection to a server: what was read on it, its responses, its idle period and its end. */
export class Connection {
  /** Number of requests whose heads were read. */
  requestCount = 0;
  /** Whether its requests are refused, because it was accepted too late. */
  isLate = false;
  /** Whether what still arrives is discarded, as its last response was sent. */
  isLingering = false;
  private settledBytes = 0;
  private lastInput: Input | undefined;
  private idlePeriod: IdlePeriod | undefined;
  private end: EndRecord | undefined;
  private readonly inProgress = new Map<ServerResponse, TrackedResponse>();

  readonly input: InputMeter;
  /** Address of the caller, without its port. */
  readonly address: string;

  constructor(
    readonly socket: Socket,
    private readonly clock: Clock,
  ) {
    this.address = socket.remoteAddress ?? '';
    this.input = new InputMeter(socket);
  }

  /** Number of responses in progress. */
  get responseCount(): number {
    return this.inProgress.size;
  }

  /** Responses in progress, in the order of their requests. */
  get responses(): readonly TrackedResponse[] {
    return [...this.inProgress.values()];
  }

  /** Last one of the responses in progress. */
  get lastResponse(): ServerResponse | undefined {
    return this.responses.at(-1)?.response;
  }

  addResponse(response: ServerResponse): TrackedResponse {
    const previous = this.responses.at(-1);
    const tracked = new TrackedResponse(response, previous?.ended);
    this.inProgress.set(response, tracked);
    return tracked;
  }

  /** Ends a response in progress; returns whether it was one. */
  endResponse(response: ServerResponse): boolean {
    const tracked = this.inProgress.get(response);
    tracked?.end();
    return this.inProgress.delete(response);
  }

  /** Records that all bytes read so far belong to requests that have begun. */
  settleInput(): void {
    this.settledBytes = this.socket.bytesRead;
  }

  /** Bytes read that belong to no request that has begun. */
  get unsettledBytes(): number {
    return this.socket.bytesRead - this.settledBytes;
  }

  /** Whether the head of a request was read in part. */
  get hasUnsettledInput(): boolean {
    return this.unsettledBytes > 0;
  }

  /** Whether no byte was read for a time, by the checks made so far. */
  isQuietFor(durationMs: number): boolean {
    const nowMs = this.clock.nowMs();
    const { bytesRead: bytes } = this.socket;
    if (this.lastInput?.bytes === bytes)
      return nowMs - this.lastInput.seenAtMs >= durationMs;
    this.lastInput = { bytes, seenAtMs: nowMs };
    return false;
  }

  /** Starts an idle period, of which the caller was told how long it may last. */
  startIdlePeriod(toldMs: number): void {
    const startedAtMs = this.clock.nowMs();
    this.idlePeriod = { startedAtMs, toldUntilMs: startedAtMs + toldMs };
  }

  /** Returns the time until which the connection may be reused under an idle timeout; -Infinity if it was never used. */
  reusableUntilMs(idleTimeoutMs: number): number {
    if (this.idlePeriod === undefined) return -Infinity;
    const { startedAtMs, toldUntilMs } = this.idlePeriod;
    return Math.max(startedAtMs + idleTimeoutMs, toldUntilMs);
  }

  /** Records that this daemon ends the connection now; the first reason counts. */
  recordEnd(reason: ConnectionEnd): void {
    this.end ??= { reason, atMs: this.clock.nowMs() };
  }

  /** How this daemon ended the connection; undefined if it did not. */
  get pastEnd(): PastEnd | undefined {
    if (this.end === undefined) return undefined;
    const { atMs, reason } = this.end;
    return { reason, agoMs: Math.round(this.clock.nowMs() - atMs) };
  }

  /** Closes the connection at once. Requests that cross the end stay unread, so that their callers may send them again. */
  destroy(reason: ConnectionEnd): void {
    if (this.socket.destroyed) return;
    this.recordEnd(reason);
    this.socket.destroy();
  }
}
