import { parseRules } from './parse-rules.js';
import type { Rule, RuleFault } from './rule.js';
import { FaultSeverity } from './rule.js';

/** Names configured in the deployment. Names are not checked where the list is absent. */
export interface KnownNames {
  readonly workspaces?: readonly string[];
  readonly groups?: readonly string[];
}

/**
 * Returns the faults of a rule file by line: errors of syntax, and warnings about
 * shadowed rules and unknown names.
 */
export function checkRules(
  text: string,
  knownNames: KnownNames = {},
): readonly RuleFault[] {
  const { faults, rules } = parseRules(text);
  const lines = text.split('\n');
  const createWarning = (
    rule: Rule,
    message: string,
    remedy: string,
  ): RuleFault => ({
    severity: FaultSeverity.Warning,
    line: rule.line,
    column: 1,
    text: lines[rule.line - 1] ?? '',
    message,
    remedy,
  });
  const warnings = rules.flatMap((rule, index) => [
    ...findShadowing(rule, rules.slice(0, index), createWarning),
    ...findUnknownNames(rule, knownNames, createWarning),
  ]);
  return [...faults, ...warnings].sort((left, right) => left.line - right.line);
}

/** Returns whether any fault prevents the file from being put in force. */
export function hasErrors(faults: readonly RuleFault[]): boolean {
  return faults.some(fault => fault.severity === FaultSeverity.Error);
}

type CreateWarning = (rule: Rule, message: string, remedy: string) => RuleFault;

function findShadowing(
  rule: Rule,
  earlier: readonly Rule[],
  createWarning: CreateWarning,
): readonly RuleFault[] {
  const shadowingRule = earlier.find(other => shadows(other, rule));
  if (shadowingRule === undefined) return [];
  const isDuplicate =
    shadowingRule.workspace === rule.workspace &&
    shadowingRule.kind === rule.kind;
  return [
    isDuplicate
      ? createWarning(
          rule,
          `The line matches the same requests as line ${shadowingRule.line}.`,
          'Remove one of the two lines.',
        )
      : createWarning(
          rule,
          `No request reaches the line: line ${shadowingRule.line} takes them all.`,
          `Move the line above line ${shadowingRule.line}, or remove it.`,
        ),
  ];
}

/** Returns whether every request that `rule` matches is matched by `other` as well. */
function shadows(other: Rule, rule: Rule): boolean {
  const matchesWorkspace =
    other.workspace === undefined || other.workspace === rule.workspace;
  return (
    matchesWorkspace && (other.kind === undefined || other.kind === rule.kind)
  );
}

function findUnknownNames(
  rule: Rule,
  knownNames: KnownNames,
  createWarning: CreateWarning,
): readonly RuleFault[] {
  const faults: RuleFault[] = [];
  const { groups, workspaces } = knownNames;
  if (
    rule.workspace !== undefined &&
    workspaces?.includes(rule.workspace) === false
  ) {
    faults.push(
      createWarning(
        rule,
        `No credential is set for workspace ${rule.workspace}.`,
        `Use one of ${workspaces.join(', ')}, or add it to the settings.`,
      ),
    );
  }
  if (groups?.includes(rule.group) === false) {
    faults.push(
      createWarning(
        rule,
        `No endpoint of group ${rule.group} is listed.`,
        `Use one of ${groups.join(', ')}, or start such an endpoint.`,
      ),
    );
  }
  return faults;
}
