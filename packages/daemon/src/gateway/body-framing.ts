import type { RawHeaders } from '@skylarkreach/core/forwarding';

/** What delimits the body of a response. */
export enum BodyFraming {
  /** Its length, its chunks, or that there is none. */
  Explicit = 'explicit',
  /** The end of its connection, which does not confirm that it is complete. */
  ConnectionEnd = 'connectionEnd',
  /** A transfer coding that was not asked for. */
  Unknown = 'unknown',
}

/** Statuses of responses that have no body, whatever their headers state. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** Returns the framing of the response to a request (RFC 9112, 6.3). */
export function bodyFraming(
  method: string,
  status: number,
  headers: RawHeaders,
): BodyFraming {
  if (method === 'HEAD' || BODILESS_STATUSES.has(status))
    return BodyFraming.Explicit;
  const codings = valuesOf(headers, 'transfer-encoding')
    .flatMap(value => value.split(','))
    .map(coding => coding.trim().toLowerCase());
  if (codings.every(coding => coding === 'identity')) {
    return valuesOf(headers, 'content-length').length > 0
      ? BodyFraming.Explicit
      : BodyFraming.ConnectionEnd;
  }
  return codings.length === 1 && codings[0] === 'chunked'
    ? BodyFraming.Explicit
    : BodyFraming.Unknown;
}

function valuesOf(headers: RawHeaders, name: string): readonly string[] {
  return headers.filter(
    (_, index) => index % 2 === 1 && headers[index - 1]?.toLowerCase() === name,
  );
}
