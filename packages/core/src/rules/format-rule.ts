import type { Rule } from './rule.js';

const MS_PER_SECOND = 1_000;

/** Writes a rule as the line that `parseRules` reads back. */
export function formatRule(rule: Rule): string {
  const fields = [
    field('workspace', rule.workspace),
    field('kind', rule.kind),
    field('target', rule.group),
    field('version', rule.version),
    field('priority', rule.priority),
    field('deadline', formatDuration(rule.deadlineLimitMs)),
    field('inFlight', rule.limits.inFlight),
    field('tokensPerMinute', rule.limits.tokensPerMinute),
    field('repeat', rule.repeat),
  ];
  return `${fields.filter(text => text !== '').join(' ')} # ${rule.reason}`;
}

function field(name: string, value: string | number | undefined): string {
  return value === undefined ? '' : `${name}=${value}`;
}

function formatDuration(durationMs: number): string {
  return durationMs % MS_PER_SECOND === 0
    ? `${durationMs / MS_PER_SECOND}s`
    : `${durationMs}ms`;
}
