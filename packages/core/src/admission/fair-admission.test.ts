import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import { ManualClock, Priority } from '../ports/index.js';
import type { AdmissionRequest } from './admission.js';
import { AdmissionRefusedError, RefusalReason } from './admission.js';
import { DEFAULT_CONCURRENCY } from './concurrency-limit.js';
import type { FairAdmissionOptions } from './fair-admission.js';
import { DEFAULT_FAIR_ADMISSION, FairAdmission } from './fair-admission.js';

const LIMIT = 10;
const FIXED_CONCURRENCY = {
  ...DEFAULT_CONCURRENCY,
  initial: LIMIT,
  min: LIMIT,
  max: LIMIT,
};
const NO_REPORTED_WAIT = { reportedWaitMs: () => undefined };
const { signal } = new AbortController();

function createAdmission(overrides: Partial<FairAdmissionOptions> = {}) {
  const clock = new ManualClock();
  const options = {
    ...DEFAULT_FAIR_ADMISSION,
    concurrency: FIXED_CONCURRENCY,
    ...overrides,
  };
  return {
    clock,
    admission: new FairAdmission(clock, NO_REPORTED_WAIT, options),
  };
}

function request(overrides: Partial<AdmissionRequest> = {}): AdmissionRequest {
  return {
    requestId: 'request-1',
    workspace: 'northside',
    kind: 'review',
    group: 'model',
    priority: Priority.Draft,
    limits: {},
    promptTokens: 100,
    maxTokens: 100,
    deadlineAtMs: 60_000,
    ...overrides,
  };
}

function isRefusedFor(reason: RefusalReason, retryAtMs?: number) {
  return (error: unknown) =>
    error instanceof AdmissionRefusedError &&
    error.reason === reason &&
    (retryAtMs === undefined || error.retryAtMs === retryAtMs);
}

/** Admits `count` drafts; after 8, the next draft is queued. */
async function admitDrafts(admission: FairAdmission, count: number) {
  const tickets = [];
  for (let index = 0; index < count; index += 1) {
    tickets.push(await admission.admit(request(), signal));
  }
  return tickets;
}

describe('FairAdmission', () => {
  it('starts look-ups immediately while drafts are queued', async () => {
    const { admission } = createAdmission();
    await admitDrafts(admission, 8);
    void admission.admit(request(), signal);
    assert.equal(admission.dumpState().model?.queued, 1);
    await admission.admit(request({ priority: Priority.Lookup }), signal);
    assert.equal(admission.dumpState().model?.inFlight, 9);
  });

  it('refuses a request that cannot meet its deadline immediately, with a time to retry', async () => {
    const { admission, clock } = createAdmission();
    const [ticket] = await admitDrafts(admission, 8);
    await clock.advanceTo(5_000);
    ticket?.release(100, clock.nowMs());
    const late = request({ deadlineAtMs: 9_000 });
    await assert.rejects(
      admission.admit(late, signal),
      (error: unknown) =>
        isRefusedFor(RefusalReason.DeadlineUnreachable)(error) &&
        error instanceof AdmissionRefusedError &&
        error.retryAtMs > clock.nowMs(),
    );
  });

  it('refuses a queued request when its deadline can no longer be met', async () => {
    const { admission, clock } = createAdmission();
    await admitDrafts(admission, 8);
    const waiting = admission.admit(request({ deadlineAtMs: 300 }), signal);
    const refused = assert.rejects(
      waiting,
      isRefusedFor(RefusalReason.DeadlineUnreachable),
    );
    await clock.advanceTo(300);
    await refused;
    assert.equal(admission.dumpState().model?.queued, 0);
  });

  it('bounds its queues under any mix of workspaces and priorities', async () => {
    const arrival = fc.record({
      workspace: fc.constantFrom('north', 'south', 'east'),
      priority: fc.constantFrom(...Object.values(Priority)),
    });
    const arrivals = fc.array(arrival, { maxLength: 120 });
    await fc.assert(
      fc.asyncProperty(arrivals, async arrived => {
        const { admission } = createAdmission({
          maxQueued: 12,
          maxQueuedPerWorkspace: 5,
        });
        const refused: unknown[] = [];
        for (const overrides of arrived) {
          admission
            .admit(request(overrides), signal)
            .catch((error: unknown) => {
              refused.push(error);
            });
        }
        await new Promise(setImmediate);
        const { inFlight = 0, queued = 0 } = admission.dumpState().model ?? {};
        assert.ok(inFlight <= LIMIT && queued <= 3 * 12);
        assert.equal(inFlight + queued + refused.length, arrived.length);
        assert.ok(refused.every(isRefusedFor(RefusalReason.QueueFull)));
      }),
      { seed: 5, numRuns: 100 },
    );
  });

  it('limits the requests of a workspace in flight, including its queued requests', async () => {
    const { admission } = createAdmission();
    const limited = request({ limits: { inFlight: 2 } });
    const ticket = await admission.admit(limited, signal);
    await admission.admit(limited, signal);
    await assert.rejects(
      admission.admit(limited, signal),
      isRefusedFor(RefusalReason.WorkspaceInFlight),
    );
    ticket.release(1, 10);
    await admission.admit(limited, signal);
  });

  it('limits the tokens of a workspace and returns when they are available again', async () => {
    const { admission, clock } = createAdmission();
    const limited = request({ limits: { tokensPerMinute: 200 } });
    const ticket = await admission.admit(limited, signal);
    const refusal = isRefusedFor(RefusalReason.WorkspaceTokens, 60_000);
    await assert.rejects(admission.admit(limited, signal), refusal);
    ticket.release(50, 0);
    const refusalAfterRefund = isRefusedFor(
      RefusalReason.WorkspaceTokens,
      45_000,
    );
    await assert.rejects(admission.admit(limited, signal), refusalAfterRefund);
    await clock.advanceTo(45_000);
    await admission.admit(
      request({ ...limited, deadlineAtMs: 90_000 }),
      signal,
    );
  });

  it('removes a queued request whose caller aborts', async () => {
    const { admission } = createAdmission();
    await admitDrafts(admission, 8);
    const caller = new AbortController();
    const waiting = admission.admit(request(), caller.signal);
    caller.abort(new Error('The caller has gone.'));
    await assert.rejects(waiting, /caller has gone/);
    assert.equal(admission.dumpState().model?.queued, 0);
  });

  it('refuses all queued and later requests when it stops', async () => {
    const { admission } = createAdmission();
    await admitDrafts(admission, 8);
    const waiting = admission.admit(request(), signal);
    admission.stop();
    await assert.rejects(waiting, isRefusedFor(RefusalReason.Stopping));
    await assert.rejects(
      admission.admit(request(), signal),
      isRefusedFor(RefusalReason.Stopping),
    );
  });

  it('decreases its limit while endpoints report long waits', async () => {
    const clock = new ManualClock();
    const waits = { reportedWaitMs: () => 4_000 };
    const admission = new FairAdmission(clock, waits);
    const before = 8;
    for (let atMs = 0; atMs < 3_000; atMs += 500) {
      await clock.advanceTo(atMs);
      const ticket = await admission.admit(request(), signal);
      ticket.release(1, clock.nowMs());
    }
    assert.ok((admission.dumpState().model?.limit ?? before) < before);
  });
});
