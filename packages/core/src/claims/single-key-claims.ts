import { z } from 'zod';

import type { Clock, KeyValueStore, ServiceResponse } from '../ports/index.js';
import {
  AnswerLostError,
  NotSentError,
  PlatformError,
  PutOutcome,
} from '../ports/index.js';
import type {
  ClaimedDispatch,
  ClaimIntent,
  ClaimRecord,
  Claims,
} from './claims.js';
import { ClaimError, ClaimErrorKind, ClaimState } from './claims.js';

const CLAIM_KEY_PREFIX = 'claims/single/';
const MAX_WRITE_ATTEMPTS = 3;

const recordSchema = z.object({
  state: z.enum(ClaimState),
  bodyHash: z.string(),
  requestId: z.string(),
  keepUntilMs: z.number(),
  response: z
    .object({
      status: z.number(),
      contentType: z.string(),
      body: z.string(),
    })
    .optional(),
});

interface StoredClaim {
  readonly record: ClaimRecord;
  readonly version: number;
}

/**
 * Claims stored under one key of the key-value service each, with two writes per
 * call: before its dispatch and at its end. Simple and exact, but the number of
 * writes is too high for a large deployment.
 */
export class SingleKeyClaims implements Claims {
  constructor(
    private readonly keyValue: KeyValueStore,
    private readonly clock: Clock,
    private readonly retentionMs: number,
  ) {}

  async run(
    intent: ClaimIntent,
    dispatch: ClaimedDispatch,
  ): Promise<ServiceResponse> {
    const key = claimKey(intent.workspace, intent.idempotencyKey);
    const existing = await this.read(key, intent.deadlineAtMs);
    if (existing !== undefined) return replayFirstRun(existing.record, intent);
    const claimed = this.createRecord(intent);
    const version = await this.write(key, claimed, 0, intent.deadlineAtMs);
    return this.dispatchClaimed(key, claimed, version, intent, dispatch);
  }

  async find(
    workspace: string,
    idempotencyKey: string,
    deadlineAtMs: number,
  ): Promise<ClaimRecord | undefined> {
    const key = claimKey(workspace, idempotencyKey);
    return (await this.read(key, deadlineAtMs))?.record;
  }

  private createRecord(intent: ClaimIntent): ClaimRecord {
    return {
      state: ClaimState.Dispatched,
      bodyHash: intent.bodyHash,
      requestId: intent.requestId,
      keepUntilMs: Math.max(
        intent.deadlineAtMs,
        this.clock.nowMs() + this.retentionMs,
      ),
    };
  }

  private async dispatchClaimed(
    key: string,
    claimed: ClaimRecord,
    version: number,
    intent: ClaimIntent,
    dispatch: ClaimedDispatch,
  ): Promise<ServiceResponse> {
    try {
      const response = await dispatch();
      const ran = { ...claimed, state: ClaimState.Ran, response };
      await this.settle(key, ran, version, intent.deadlineAtMs);
      return response;
    } catch (error) {
      const isNotSent = error instanceof NotSentError;
      const state = isNotSent ? ClaimState.NotRun : ClaimState.Unknown;
      const ended = { ...claimed, state };
      await this.settle(key, ended, version, intent.deadlineAtMs);
      throw toDispatchError(error, isNotSent);
    }
  }

  /** Records the outcome. The call returns its own response even where this write fails. */
  private async settle(
    key: string,
    record: ClaimRecord,
    version: number,
    deadlineAtMs: number,
  ): Promise<void> {
    try {
      await this.write(key, record, version, deadlineAtMs);
    } catch (error) {
      if (!(error instanceof ClaimError)) throw error;
    }
  }

  private async read(
    key: string,
    deadlineAtMs: number,
  ): Promise<StoredClaim | undefined> {
    try {
      const entry = await this.keyValue.get(key, deadlineAtMs);
      if (entry === undefined) return undefined;
      const record = recordSchema.parse(JSON.parse(entry.value));
      return { record, version: entry.version };
    } catch (error) {
      throw toStoreError(error);
    }
  }

  /** Writes by compare-and-swap. After a lost response the value is read back to find out whether the write took effect. */
  private async write(
    key: string,
    record: ClaimRecord,
    expectedVersion: number,
    deadlineAtMs: number,
  ): Promise<number> {
    const value = JSON.stringify(record);
    for (let attempt = 1; ; attempt += 1) {
      try {
        const result = await this.keyValue.put({
          key,
          value,
          expectedVersion,
          deadlineAtMs,
        });
        if (result.outcome === PutOutcome.Written) return result.version;
        throw inProgressError();
      } catch (error) {
        if (!(error instanceof AnswerLostError)) throw toStoreError(error);
        const stored = await this.read(key, deadlineAtMs);
        if (stored !== undefined && stored.version > expectedVersion) {
          if (JSON.stringify(stored.record) === value) return stored.version;
          throw inProgressError();
        }
        if (attempt === MAX_WRITE_ATTEMPTS) throw toStoreError(error);
      }
    }
  }
}

function claimKey(workspace: string, idempotencyKey: string): string {
  return `${CLAIM_KEY_PREFIX}${workspace}/${idempotencyKey}`;
}

function replayFirstRun(
  record: ClaimRecord,
  intent: ClaimIntent,
): ServiceResponse {
  if (record.bodyHash !== intent.bodyHash) {
    throw new ClaimError(
      'The Idempotency-Key was used with another request body; use a new key for a new call.',
      ClaimErrorKind.KeyReused,
    );
  }
  if (record.response !== undefined) return record.response;
  if (record.state === ClaimState.NotRun) {
    throw new ClaimError(
      'The first call under this Idempotency-Key was not run; send it again under a new key.',
      ClaimErrorKind.NotRun,
    );
  }
  throw new ClaimError(
    'The outcome of the first call under this Idempotency-Key is unknown; query the service for it.',
    ClaimErrorKind.OutcomeUnknown,
  );
}

function toDispatchError(error: unknown, isNotSent: boolean): unknown {
  if (!(error instanceof PlatformError)) return error;
  return isNotSent
    ? new ClaimError(
        'The call did not reach the service; send it again under a new key.',
        ClaimErrorKind.NotRun,
        { cause: error },
      )
    : new ClaimError(
        'The call was sent, but its response was lost; query the service for the outcome.',
        ClaimErrorKind.OutcomeUnknown,
        { cause: error },
      );
}

function inProgressError(): ClaimError {
  return new ClaimError(
    'Another call under this Idempotency-Key is in progress; query its outcome.',
    ClaimErrorKind.InProgress,
  );
}

function toStoreError(error: unknown): unknown {
  if (!(error instanceof PlatformError)) return error;
  return new ClaimError(
    'The claim could not be recorded; try again once the key-value service is available.',
    ClaimErrorKind.StoreUnavailable,
    { cause: error },
  );
}
