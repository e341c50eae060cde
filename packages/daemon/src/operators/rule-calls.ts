import { z } from 'zod';

import type { Clock, KeyValue } from '@skylarkreach/core/platform';
import { PutOutcome } from '@skylarkreach/core/platform';
import type { RuleStore } from '@skylarkreach/core/rules';
import { parseRules, RULES_KEY } from '@skylarkreach/core/rules';

import type { OperatorAnswer, OperatorServer } from './operator-server.js';
import { failure, ok } from './operator-server.js';

const CALL_TIMEOUT_MS = 5_000;

const applySchema = z.object({
  text: z.string(),
  /** Revision that the operator read; 0 for the first file. */
  baseRevision: z.int().nonnegative(),
});

/** Adds the operators' calls that show and change the rules. */
export function addRuleCalls(
  server: OperatorServer,
  rules: RuleStore,
  keyValue: KeyValue,
  clock: Clock,
): void {
  server.add('GET', '/v1/rules', () =>
    ok({ revision: rules.revision, text: rules.text }),
  );
  server.add('POST', '/v1/rules/check', ({ body }) =>
    ok({ faults: parseRules(body).faults }),
  );
  server.add('PUT', '/v1/rules', ({ body }) =>
    applyRules(body, rules, keyValue, clock),
  );
}

async function applyRules(
  body: string,
  rules: RuleStore,
  keyValue: KeyValue,
  clock: Clock,
): Promise<OperatorAnswer> {
  const parsed = applySchema.safeParse(JSON.parse(body));
  if (!parsed.success) {
    return failure(400, 'The call is malformed.', 'Update the command line.');
  }
  const { baseRevision, text } = parsed.data;
  const { faults } = parseRules(text);
  if (faults.length > 0) return { status: 422, body: { faults } };
  const result = await keyValue.put({
    key: RULES_KEY,
    value: text,
    expectedVersion: baseRevision,
    deadlineAtMs: clock.nowMs() + CALL_TIMEOUT_MS,
  });
  if (result.outcome === PutOutcome.Conflict) {
    return failure(
      409,
      `Revision ${result.version} is in force; the edit was made on ${baseRevision}.`,
      'Read the rules again and repeat the edit.',
    );
  }
  rules.apply({ key: RULES_KEY, value: text, version: result.version });
  return { status: 200, body: { revision: result.version } };
}
