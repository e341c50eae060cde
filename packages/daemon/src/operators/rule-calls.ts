import { z } from 'zod';

import type { Clock } from '@skylarkreach/core/ports';
import type {
  EditResult,
  KnownNames,
  RevisionSurvey,
  RuleEditor,
  RuleStore,
} from '@skylarkreach/core/rules';
import { checkRules, EditOutcome } from '@skylarkreach/core/rules';

import type {
  OperatorAnswer,
  OperatorCall,
  OperatorServer,
} from './operator-server.js';
import { failure, ok } from './operator-server.js';

const CALL_TIMEOUT_MS = 5_000;
const SURVEY_TIMEOUT_MS = 1_000;

const editSchema = z.object({
  editId: z.string().min(1),
  baseRevision: z.int().nonnegative(),
  baseText: z.string(),
  text: z.string(),
});

export interface RuleCallParts {
  readonly rules: RuleStore;
  readonly editor: RuleEditor;
  readonly survey: RevisionSurvey;
  readonly clock: Clock;
  readonly knownNames: () => KnownNames;
}

/** HTTP status of each outcome of an edit. */
const STATUS_OF_OUTCOME: Record<EditOutcome, number> = {
  [EditOutcome.Applied]: 200,
  [EditOutcome.Unchanged]: 200,
  [EditOutcome.Conflict]: 409,
  [EditOutcome.Invalid]: 422,
  [EditOutcome.WrongBase]: 409,
  [EditOutcome.Unavailable]: 503,
  [EditOutcome.Unknown]: 502,
};

/** Message and remedy of each outcome that is a failure. */
const REMEDY_OF_OUTCOME: Partial<Record<EditOutcome, [string, string]>> = {
  [EditOutcome.Conflict]: [
    'Another edit changed the same lines.',
    'Read the rules again and repeat the edit.',
  ],
  [EditOutcome.Invalid]: [
    'The merged file has faults.',
    'Correct the lines that are named.',
  ],
  [EditOutcome.WrongBase]: [
    'The edit starts from a revision that was never in force here.',
    'Read the rules again and repeat the edit.',
  ],
  [EditOutcome.Unavailable]: [
    'The key-value service gives no answer; nothing was changed.',
    'Repeat the edit when it is back.',
  ],
  [EditOutcome.Unknown]: [
    'The answer of the key-value service was lost; the edit may be in force.',
    'Repeat the command: the same edit is not applied twice.',
  ],
};

/** Adds the operators' calls that show, check, explain and change the rules. */
export function addRuleCalls(
  server: OperatorServer,
  parts: RuleCallParts,
): void {
  const { clock, editor, knownNames, rules, survey } = parts;
  server.add('GET', '/v1/rules', () =>
    ok({ revision: rules.revision, text: rules.text }),
  );
  server.add('POST', '/v1/rules/check', ({ body }) =>
    ok({ faults: checkRules(body, knownNames()) }),
  );
  server.add('GET', '/v1/rules/explain', call => explain(call, rules));
  server.add('GET', '/v1/rules/history', async () => {
    const edits = await editor.readHistory(clock.nowMs() + CALL_TIMEOUT_MS);
    return { status: 200, body: { edits } };
  });
  server.add('GET', '/v1/rules/revisions', async () => {
    const daemons = await survey.run(clock.nowMs() + SURVEY_TIMEOUT_MS);
    return { status: 200, body: { daemons } };
  });
  server.add('PUT', '/v1/rules', call => applyEdit(call, parts));
}

function explain(
  call: OperatorCall,
  rules: RuleStore,
): Promise<OperatorAnswer> {
  const { searchParams } = call.url;
  const workspace = searchParams.get('workspace') ?? '';
  const kind = searchParams.get('kind') ?? '';
  const rule = rules.match({ workspace, kind });
  const line =
    rule === undefined ? undefined : rules.text.split('\n')[rule.line - 1];
  return ok({ revision: rules.revision, rule, text: line });
}

async function applyEdit(
  call: OperatorCall,
  parts: RuleCallParts,
): Promise<OperatorAnswer> {
  const parsed = editSchema.safeParse(parseJson(call.body));
  if (!parsed.success) {
    return failure(400, 'The call is malformed.', 'Update the command line.');
  }
  const result = await parts.editor.apply({
    ...parsed.data,
    operator: call.operator,
    deadlineAtMs: parts.clock.nowMs() + CALL_TIMEOUT_MS,
  });
  if (result.entry !== undefined) parts.rules.apply(result.entry);
  return toAnswer(result);
}

function toAnswer(result: EditResult): OperatorAnswer {
  const [message, remedy] = REMEDY_OF_OUTCOME[result.outcome] ?? [];
  return {
    status: STATUS_OF_OUTCOME[result.outcome],
    body: { ...result, entry: undefined, message, remedy },
  };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
