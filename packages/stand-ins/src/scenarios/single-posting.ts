import { request } from 'undici';
import { z } from 'zod';

import { CALLER_TOKEN } from '../deployment/index.js';
import type { PostingRecord } from './run-history.js';
import { PostingOutcome } from './run-history.js';

/** Posting that is sent to one daemon without retries. */
export interface SinglePosting {
  /** URL of the daemon. */
  readonly url: string;
  readonly key: string;
  readonly deadlineAtMs: number;
}

const problemSchema = z.object({ outcome: z.enum(PostingOutcome) });

/**
 * Sends a posting to one daemon and returns the outcome that the daemon reports.
 * A failed request or an unreadable response counts as `Unknown`.
 */
export async function sendSinglePosting(
  posting: SinglePosting,
): Promise<PostingRecord> {
  const { deadlineAtMs, key, url } = posting;
  try {
    const response = await request(`${url}/v1/services/ledger/postings`, {
      method: 'POST',
      body: JSON.stringify({ key }),
      signal: AbortSignal.timeout(Math.max(1, deadlineAtMs - Date.now())),
      reset: true,
      headers: {
        authorization: `Bearer ${CALLER_TOKEN}`,
        'content-type': 'application/json',
        'skylarkreach-deadline': new Date(deadlineAtMs).toISOString(),
        'skylarkreach-kind': 'posting',
        'idempotency-key': key,
      },
    });
    const body = await response.body.text();
    if (response.statusCode === 200) {
      return { key, outcome: PostingOutcome.Ran, responseBody: body };
    }
    const { outcome } = problemSchema.parse(JSON.parse(body));
    return { key, outcome, responseBody: undefined };
  } catch {
    return { key, outcome: PostingOutcome.Unknown, responseBody: undefined };
  }
}
