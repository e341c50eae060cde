import { z } from 'zod';

import { Priority } from '../ports/index.js';
import type { ParsedRules, Rule, RuleFault } from './rule.js';
import { FaultSeverity, RepeatPolicy } from './rule.js';

const DURATION_UNITS_MS = { ms: 1, s: 1_000, m: 60_000, h: 3_600_000 };
/** Requester and reason, separated by a comma. */
const REASON_COMMENT_PATTERN = /^[^,]*[^,\s][^,]*,.*\S/;
const DURATION_PATTERN = /^(\d+)(ms|s|m|h)$/;

const durationMs = z
  .string()
  .regex(DURATION_PATTERN, 'a whole number with ms, s, m or h, such as 30s')
  .transform(parseDurationMs);

const count = z
  .string()
  .regex(/^[1-9]\d*$/, 'a whole number above 0')
  .transform(Number);

const fieldSchemas = {
  workspace: z.string().min(1),
  kind: z
    .string()
    .regex(/^(\*|[a-z][a-z0-9-]*)$/, 'lower-case words joined by hyphens'),
  target: z.string().min(1),
  version: z.string().min(1),
  priority: z.enum(Priority),
  deadline: durationMs,
  inFlight: count,
  tokensPerMinute: count,
  repeat: z.enum(RepeatPolicy),
};

type FieldName = keyof typeof fieldSchemas;
type FieldValues = {
  [Name in FieldName]?: z.output<(typeof fieldSchemas)[Name]>;
};

const FIELD_NAMES = Object.keys(fieldSchemas) as FieldName[];

/** Parses a rule file, one rule per line. Skips blank lines and comment lines. */
export function parseRules(text: string): ParsedRules {
  const rules: Rule[] = [];
  const faults: RuleFault[] = [];
  text.split('\n').forEach((content, index) => {
    if (/^\s*(#|$)/.test(content)) return;
    const lineFaults: RuleFault[] = [];
    const rule = parseLine(content, index + 1, lineFaults);
    faults.push(...lineFaults);
    if (rule !== undefined) rules.push(rule);
  });
  return { rules, faults };
}

function parseLine(
  content: string,
  line: number,
  faults: RuleFault[],
): Rule | undefined {
  const commentIndex = content.search(/\s#/);
  const reason =
    commentIndex === -1
      ? ''
      : content.slice(commentIndex).trim().slice(1).trim();
  const fieldsText =
    commentIndex === -1 ? content : content.slice(0, commentIndex);
  const addFault = (column: number, message: string, remedy: string) => {
    faults.push({
      severity: FaultSeverity.Error,
      line,
      column,
      text: content,
      message,
      remedy,
    });
  };
  if (!REASON_COMMENT_PATTERN.test(reason)) {
    addFault(
      fieldsText.trimEnd().length + 1,
      'The line has no comment that states who asked for it and why.',
      'End the line with "# who asked, why".',
    );
  }
  const values = parseFields(fieldsText, addFault);
  if (values.target === undefined) {
    addFault(1, 'The line has no target.', 'Add target=GROUP.');
  }
  if (faults.length > 0 || values.target === undefined) return undefined;
  return toRule(values, values.target, line, reason);
}

type AddFault = (column: number, message: string, remedy: string) => void;

function parseFields(fieldsText: string, addFault: AddFault): FieldValues {
  const values: FieldValues = {};
  for (const match of fieldsText.matchAll(/\S+/g)) {
    const column = match.index + 1;
    const [name = '', ...rest] = match[0].split('=');
    if (!isFieldName(name)) {
      addFault(
        column,
        `Unknown field "${name}".`,
        `Use one of ${FIELD_NAMES.join(', ')}.`,
      );
      continue;
    }
    if (values[name] !== undefined) {
      addFault(column, `Field ${name} is given twice.`, 'Keep one of them.');
      continue;
    }
    const parsed = fieldSchemas[name].safeParse(rest.join('='));
    if (parsed.success) {
      Object.assign(values, { [name]: parsed.data });
    } else {
      const expected = parsed.error.issues[0]?.message ?? 'another value';
      addFault(
        column,
        `Field ${name} has an invalid value.`,
        `Use ${expected}.`,
      );
    }
  }
  return values;
}

function isFieldName(name: string): name is FieldName {
  return Object.hasOwn(fieldSchemas, name);
}

function toRule(
  values: FieldValues,
  group: string,
  line: number,
  reason: string,
): Rule {
  return {
    line,
    workspace: toMatcher(values.workspace),
    kind: toMatcher(values.kind),
    group,
    version: values.version,
    priority: values.priority ?? Priority.Standard,
    deadlineLimitMs: values.deadline ?? DEFAULT_DEADLINE_LIMIT_MS,
    limits: {
      inFlight: values.inFlight,
      tokensPerMinute: values.tokensPerMinute,
    },
    repeat: values.repeat ?? RepeatPolicy.Repeatable,
    reason,
  };
}

const DEFAULT_DEADLINE_LIMIT_MS = 600_000;

function toMatcher(value: string | undefined): string | undefined {
  return value === '*' ? undefined : value;
}

function parseDurationMs(text: string): number {
  const [, amount = '0', unit = 'ms'] = DURATION_PATTERN.exec(text) ?? [];
  return Number(amount) * DURATION_UNITS_MS[unit as 'ms' | 's' | 'm' | 'h'];
}
