import { z } from 'zod';

import type { Clock, StateSource } from '@skylarkreach/core/ports';
import type {
  EditResult,
  KnownNames,
  RevisionSurvey,
  RuleEditor,
  RuleStore,
} from '@skylarkreach/core/rules';
import { checkRules, EditOutcome } from '@skylarkreach/core/rules';

import type {
  OperatorRequest,
  OperatorResponse,
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

export interface RuleRouteDependencies {
  readonly rules: RuleStore;
  readonly editor: RuleEditor;
  readonly survey: RevisionSurvey;
  readonly clock: Clock;
  readonly knownNames: () => KnownNames;
}

/** HTTP status of each outcome of an edit. */
const STATUS_BY_OUTCOME: Record<EditOutcome, number> = {
  [EditOutcome.Applied]: 200,
  [EditOutcome.Unchanged]: 200,
  [EditOutcome.Conflict]: 409,
  [EditOutcome.Invalid]: 422,
  [EditOutcome.WrongBase]: 409,
  [EditOutcome.Unavailable]: 503,
  [EditOutcome.Unknown]: 502,
};

/** Message and remedy of each outcome that is a failure. */
const FAILURE_BY_OUTCOME: Partial<Record<EditOutcome, [string, string]>> = {
  [EditOutcome.Conflict]: [
    'Another edit changed the same lines.',
    'Read the rules again and repeat the edit.',
  ],
  [EditOutcome.Invalid]: [
    'The merged rules are invalid.',
    'Correct the lines that the faults name.',
  ],
  [EditOutcome.WrongBase]: [
    'The base of the edit differs from the stored rules of its revision.',
    'Read the rules again and repeat the edit.',
  ],
  [EditOutcome.Unavailable]: [
    'The key-value service does not respond; nothing was changed.',
    'Repeat the edit when the service is available.',
  ],
  [EditOutcome.Unknown]: [
    'The response of the key-value service was lost; the edit may be in force.',
    'Repeat the command: the same edit is not applied twice.',
  ],
};

/** Adds the operators' routes that show, check, explain and edit the rules. */
export function addRuleRoutes(
  server: OperatorServer,
  deps: RuleRouteDependencies,
): void {
  const { clock, editor, knownNames, rules, survey } = deps;
  server.addRoute('GET', '/v1/rules', () =>
    ok({ revision: rules.revision, text: rules.text }),
  );
  server.addRoute('POST', '/v1/rules/check', ({ body }) =>
    ok({ faults: checkRules(body, knownNames()) }),
  );
  server.addRoute('GET', '/v1/rules/explain', call =>
    explainMatch(call, rules),
  );
  server.addRoute('GET', '/v1/rules/history', async () => {
    const edits = await editor.readHistory(clock.nowMs() + CALL_TIMEOUT_MS);
    return { status: 200, body: { edits } };
  });
  server.addRoute('GET', '/v1/rules/revisions', async () => {
    const daemons = await survey.run(clock.nowMs() + SURVEY_TIMEOUT_MS);
    return { status: 200, body: { daemons } };
  });
  server.addRoute('PUT', '/v1/rules', request => applyEdit(request, deps));
}

/** Returns the rule that matches a workspace and kind, with its line of the rule file. */
function explainMatch(
  request: OperatorRequest,
  rules: RuleStore,
): Promise<OperatorResponse> {
  const { searchParams } = request.url;
  const workspace = searchParams.get('workspace') ?? '';
  const kind = searchParams.get('kind') ?? '';
  const rule = rules.match({ workspace, kind });
  const line =
    rule === undefined ? undefined : rules.text.split('\n')[rule.line - 1];
  return ok({ revision: rules.revision, rule, text: line });
}

async function applyEdit(
  request: OperatorRequest,
  deps: RuleRouteDependencies,
): Promise<OperatorResponse> {
  const parsed = editSchema.safeParse(parseJson(request.body));
  if (!parsed.success) {
    return failure(
      400,
      'The request body is malformed.',
      'Update the command line.',
    );
  }
  const result = await deps.editor.apply({
    ...parsed.data,
    operator: request.operator,
    deadlineAtMs: deps.clock.nowMs() + CALL_TIMEOUT_MS,
  });
  if (result.entry !== undefined) deps.rules.apply(result.entry);
  return toResponse(result);
}

function toResponse(result: EditResult): OperatorResponse {
  const [message, remedy] = FAILURE_BY_OUTCOME[result.outcome] ?? [];
  return {
    status: STATUS_BY_OUTCOME[result.outcome],
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

/** Returns what the dump shows of the rules. */
export function createRulesStateSource(rules: RuleStore): StateSource {
  return {
    name: 'rules',
    dumpState: () => ({ revision: rules.revision, text: rules.text }),
  };
}
