import type { Rule } from './rule.js';

const MS_PER_SECOND = 1_000;

/** Formats a rule as a line that `parseRules` parses to the same rule. */
export function formatRule(rule: Rule): string {
  const fields = [
    formatField('workspace', rule.workspace),
    formatField('kind', rule.kind),
    formatField('target', rule.group),
    formatField('version', rule.version),
    formatField('priority', rule.priority),
    formatField('deadline', formatDuration(rule.deadlineLimitMs)),
    formatField('inFlight', rule.limits.inFlight),
    formatField('tokensPerMinute', rule.limits.tokensPerMinute),
    formatField('repeat', rule.repeat),
  ];
  return `${fields.filter(text => text !== '').join(' ')} # ${rule.reason}`;
}

function formatField(name: string, value: string | number | undefined): string {
  return value === undefined ? '' : `${name}=${value}`;
}

function formatDuration(durationMs: number): string {
  return durationMs % MS_PER_SECOND === 0
    ? `${durationMs / MS_PER_SECOND}s`
    : `${durationMs}ms`;
}
