import { parseRules } from './parse-rules.js';
import type { Rule, RuleFault } from './rule.js';
import { FaultSeverity } from './rule.js';

/** Names that the deployment knows; an absent list is not checked against. */
export interface KnownNames {
  readonly workspaces?: readonly string[];
  readonly groups?: readonly string[];
}

/** Every fault of a rule file: lines that cannot be read, then lines that cannot be meant. */
export function checkRules(
  text: string,
  known: KnownNames = {},
): readonly RuleFault[] {
  const { faults, rules } = parseRules(text);
  const lines = text.split('\n');
  const warn = (rule: Rule, message: string, remedy: string): RuleFault => ({
    severity: FaultSeverity.Warning,
    line: rule.line,
    column: 1,
    text: lines[rule.line - 1] ?? '',
    message,
    remedy,
  });
  const warnings = rules.flatMap((rule, index) => [
    ...coveredBy(rule, rules.slice(0, index), warn),
    ...unknownNames(rule, known, warn),
  ]);
  return [...faults, ...warnings].sort((left, right) => left.line - right.line);
}

/** True where a fault keeps the file from being put in force. */
export function hasErrors(faults: readonly RuleFault[]): boolean {
  return faults.some(fault => fault.severity === FaultSeverity.Error);
}

type Warn = (rule: Rule, message: string, remedy: string) => RuleFault;

function coveredBy(
  rule: Rule,
  earlier: readonly Rule[],
  warn: Warn,
): readonly RuleFault[] {
  const cover = earlier.find(other => covers(other, rule));
  if (cover === undefined) return [];
  const isDuplicate =
    cover.workspace === rule.workspace && cover.kind === rule.kind;
  return [
    isDuplicate
      ? warn(
          rule,
          `The line matches the same requests as line ${cover.line}.`,
          'Remove one of the two lines.',
        )
      : warn(
          rule,
          `No request reaches the line: line ${cover.line} takes them all.`,
          `Move the line above line ${cover.line}, or remove it.`,
        ),
  ];
}

/** True where every request that `rule` matches is matched by `other` too. */
function covers(other: Rule, rule: Rule): boolean {
  const coversWorkspace =
    other.workspace === undefined || other.workspace === rule.workspace;
  return (
    coversWorkspace && (other.kind === undefined || other.kind === rule.kind)
  );
}

function unknownNames(
  rule: Rule,
  known: KnownNames,
  warn: Warn,
): readonly RuleFault[] {
  const faults: RuleFault[] = [];
  const { groups, workspaces } = known;
  if (
    rule.workspace !== undefined &&
    workspaces?.includes(rule.workspace) === false
  ) {
    faults.push(
      warn(
        rule,
        `No credential is set for workspace ${rule.workspace}.`,
        `Use one of ${workspaces.join(', ')}, or add it to the settings.`,
      ),
    );
  }
  if (groups?.includes(rule.group) === false) {
    faults.push(
      warn(
        rule,
        `No endpoint of group ${rule.group} is listed.`,
        `Use one of ${groups.join(', ')}, or start such an endpoint.`,
      ),
    );
  }
  return faults;
}
