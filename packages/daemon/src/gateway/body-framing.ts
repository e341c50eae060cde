import type { RawHeaders } from '@skylarkreach/core/forwarding';

/** What delimits the body of a response. */
export enum BodyFraming {
  /** Its length or its chunks. */
  Explicit = 'explicit',
  /** The end of its connection, which does not confirm that it is complete. */
  ConnectionEnd = 'connectionEnd',
  /** A transfer coding that was not asked for. */
  Unknown = 'unknown',
}

/** Returns the framing that the headers of a response state (RFC 9112, 6.3). */
export function bodyFraming(headers: RawHeaders): BodyFraming {
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
