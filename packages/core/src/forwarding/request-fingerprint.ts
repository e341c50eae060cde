import xxhash from 'xxhash-wasm';

import type { Workspace } from '../ports/index.js';
import type { ForwardRequest } from './forward-request.js';

const hasher = await xxhash();
/** Distinguishes fingerprints from the ids of prompt parts. */
const FINGERPRINT_PREFIX = 'request/';

/**
 * Returns a hash of what an endpoint is asked to do, equal for each repetition of
 * a request by the same workspace. Source: XXH64 (Collet).
 */
export function fingerprintOf(
  { body, metadata, method, target }: ForwardRequest,
  workspace: Workspace | undefined,
): string {
  const bodyHash = body === undefined ? 0n : hasher.h64Raw(body);
  const parts = metadata.promptParts.map(part => part.id);
  const content = [
    method,
    metadata.host,
    target,
    workspace ?? '',
    String(bodyHash),
    ...parts,
  ];
  return hasher.h64ToString(JSON.stringify(content));
}

/**
 * Returns the ids of what may be at fault if an endpoint crashes under the
 * request, the most common first: the prompt parts that other requests may share,
 * and the request as a whole.
 */
export function suspectIdsOf(
  { metadata }: ForwardRequest,
  fingerprint: string,
): readonly string[] {
  const sharedParts = metadata.promptParts.slice(0, -1);
  return [
    ...sharedParts.map(part => part.id),
    `${FINGERPRINT_PREFIX}${fingerprint}`,
  ];
}
