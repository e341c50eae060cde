import { randomUUID } from 'node:crypto';
import type { IncomingMessage } from 'node:http';

import type { CallerRequest } from '@skylarkreach/core/pipeline';
import { notRunError, RequestErrorKind } from '@skylarkreach/core/pipeline';

import { bearerToken } from '../http/index.js';

const DEFAULT_KIND = 'chat';
const REQUEST_ID_PATTERN = /^[\w.-]{8,80}$/;
const IDEMPOTENCY_KEY_PATTERN = /^[\x21-\x7e]{1,128}$/;

/** Header names of the callers' interface. */
export enum CallerHeader {
  Deadline = 'skylarkreach-deadline',
  Kind = 'skylarkreach-kind',
  RequestId = 'x-request-id',
  IdempotencyKey = 'idempotency-key',
  LastEventId = 'last-event-id',
}

/** The caller's request id, or a new one where it sent none that can be used. */
export function requestIdOf(request: IncomingMessage): string {
  const given = headerOf(request, CallerHeader.RequestId);
  return given !== undefined && REQUEST_ID_PATTERN.test(given)
    ? given
    : randomUUID();
}

/**
 * Reads what every request carries in its headers; one that names no deadline
 * gets the one given. Throws `RequestError`.
 */
export function readCallerHeaders(
  request: IncomingMessage,
  requestId: string,
  defaultDeadlineAtMs: number,
): CallerRequest {
  return {
    requestId,
    bearerToken: bearerToken(request),
    kind: headerOf(request, CallerHeader.Kind) ?? DEFAULT_KIND,
    deadlineAtMs: readDeadline(request) ?? defaultDeadlineAtMs,
    idempotencyKey: readIdempotencyKey(request),
  };
}

function readDeadline(request: IncomingMessage): number | undefined {
  const text = headerOf(request, CallerHeader.Deadline);
  if (text === undefined) return undefined;
  const deadlineAtMs = Date.parse(text);
  if (!Number.isNaN(deadlineAtMs)) return deadlineAtMs;
  throw notRunError(
    RequestErrorKind.BadRequest,
    `"${text}" is not an absolute time.`,
    'Send the deadline in RFC 3339, such as 2030-01-31T09:30:00Z.',
  );
}

function readIdempotencyKey(request: IncomingMessage): string | undefined {
  const key = headerOf(request, CallerHeader.IdempotencyKey);
  if (key === undefined || IDEMPOTENCY_KEY_PATTERN.test(key)) return key;
  throw notRunError(
    RequestErrorKind.BadRequest,
    'The Idempotency-Key is not usable.',
    'Send 1 to 128 printable ASCII characters without spaces.',
  );
}

function headerOf(
  request: IncomingMessage,
  name: CallerHeader,
): string | undefined {
  const value = request.headers[name];
  return typeof value === 'string' ? value : undefined;
}
