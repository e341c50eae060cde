import { randomUUID } from 'node:crypto';
import type { IncomingMessage } from 'node:http';

import type { CallerRequest } from '@skylarkreach/core/pipeline';
import { notRunError, RequestErrorKind } from '@skylarkreach/core/pipeline';

import { bearerToken } from '../http/index.js';

const DEFAULT_KIND = 'chat';
const REQUEST_ID_PATTERN = /^[\w.-]{8,80}$/;
const IDEMPOTENCY_KEY_PATTERN = /^[\x21-\x7e]{1,128}$/;

/** Names of the request headers that callers may send. */
export enum CallerHeader {
  Deadline = 'skylarkreach-deadline',
  Kind = 'skylarkreach-kind',
  RequestId = 'x-request-id',
  IdempotencyKey = 'idempotency-key',
  LastEventId = 'last-event-id',
}

/** Returns the caller's request id, or a new one if the caller sent no valid id. */
export function requestIdOf(request: IncomingMessage): string {
  const header = readHeader(request, CallerHeader.RequestId);
  return header !== undefined && REQUEST_ID_PATTERN.test(header)
    ? header
    : randomUUID();
}

/**
 * Reads the headers that all kinds of requests share. A request without a
 * deadline gets the default. Throws `RequestError`.
 */
export function readCallerHeaders(
  request: IncomingMessage,
  requestId: string,
  defaultDeadlineAtMs: number,
): CallerRequest {
  return {
    requestId,
    bearerToken: bearerToken(request),
    kind: readHeader(request, CallerHeader.Kind) ?? DEFAULT_KIND,
    deadlineAtMs: readDeadline(request) ?? defaultDeadlineAtMs,
    idempotencyKey: readIdempotencyKey(request),
  };
}

function readDeadline(request: IncomingMessage): number | undefined {
  const text = readHeader(request, CallerHeader.Deadline);
  if (text === undefined) return undefined;
  const deadlineAtMs = Date.parse(text);
  if (!Number.isNaN(deadlineAtMs)) return deadlineAtMs;
  throw notRunError(
    RequestErrorKind.BadRequest,
    `The deadline "${text}" is not an absolute time.`,
    'Send the deadline in RFC 3339, such as 2030-01-31T09:30:00Z.',
  );
}

function readIdempotencyKey(request: IncomingMessage): string | undefined {
  const key = readHeader(request, CallerHeader.IdempotencyKey);
  if (key === undefined || IDEMPOTENCY_KEY_PATTERN.test(key)) return key;
  throw notRunError(
    RequestErrorKind.BadRequest,
    'The Idempotency-Key is invalid.',
    'Send 1 to 128 printable ASCII characters without spaces.',
  );
}

function readHeader(
  request: IncomingMessage,
  name: CallerHeader,
): string | undefined {
  const value = request.headers[name];
  return typeof value === 'string' ? value : undefined;
}
