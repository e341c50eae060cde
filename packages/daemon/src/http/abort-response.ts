import type { ServerResponse } from 'node:http';

/** Aborts a response so that its caller sees that it is truncated. */
export function abortResponse(response: ServerResponse): void {
  // An orderly close is what completes a response that has no chunks.
  if (!response.useChunkedEncodingByDefault) response.socket?.resetAndDestroy();
  response.destroy();
}
