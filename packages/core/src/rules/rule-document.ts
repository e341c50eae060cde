import { z } from 'zod';

import type { KeyValueEntry } from '../ports/index.js';

/** Key of the rule file in the key-value service. */
export const RULES_KEY = 'rules/current';

/** Key of the edits that no longer stand beside the rule file. */
export const RULE_HISTORY_KEY = 'rules/history';

/** Edits kept beside the rule file; older ones move to the history. */
export const MAX_RECENT_EDITS = 20;

/** Bytes of the history; the oldest edits are dropped beyond it. */
export const MAX_HISTORY_BYTES = 500_000;

const editSchema = z.object({
  revision: z.int().positive(),
  editId: z.string(),
  operator: z.string(),
  appliedAtMs: z.number(),
  added: z.array(z.string()),
  removed: z.array(z.string()),
});

const documentSchema = z.object({
  text: z.string(),
  recentEdits: z.array(editSchema),
});

const historySchema = z.object({ edits: z.array(editSchema) });

/** Who changed which lines at which revision. */
export type RuleEdit = Readonly<z.output<typeof editSchema>>;

/** What the rule key holds: the file and its newest edits, oldest first. */
export interface RuleDocument {
  readonly text: string;
  readonly recentEdits: readonly RuleEdit[];
}

export function encodeRuleDocument(document: RuleDocument): string {
  return JSON.stringify(document);
}

/** The stored entry of a rule file without recorded edits, as a deployment begins with. */
export function rulesEntry(text: string, version: number): KeyValueEntry {
  const value = encodeRuleDocument({ text, recentEdits: [] });
  return { key: RULES_KEY, value, version };
}

/** Reads a stored document; undefined where the value is none. */
export function decodeRuleDocument(value: string): RuleDocument | undefined {
  return documentSchema.safeParse(parseJson(value)).data;
}

export function encodeHistory(edits: readonly RuleEdit[]): string {
  let kept = edits;
  let value = JSON.stringify({ edits: kept });
  while (Buffer.byteLength(value) > MAX_HISTORY_BYTES && kept.length > 0) {
    kept = kept.slice(Math.ceil(kept.length / 10));
    value = JSON.stringify({ edits: kept });
  }
  return value;
}

/** Reads a stored history; empty where the value is none. */
export function decodeHistory(value: string | undefined): readonly RuleEdit[] {
  if (value === undefined) return [];
  return historySchema.safeParse(parseJson(value)).data?.edits ?? [];
}

function parseJson(value: string): unknown {
  try {
    return JSON.parse(value);
  } catch {
    return undefined;
  }
}
