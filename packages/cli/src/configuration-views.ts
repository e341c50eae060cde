import type {
  EntryDifference,
  FieldDifference,
} from '@skylarkreach/core/configuration-check';
import { ConfigurationSection } from '@skylarkreach/core/configuration-check';
import type {
  ConfigurationReport,
  LocatedFinding,
} from '@skylarkreach/platform/configuration-check';

const ENTRY_LABELS: Readonly<Record<ConfigurationSection, string>> = {
  [ConfigurationSection.Routes]: 'route',
  [ConfigurationSection.Groups]: 'service',
  [ConfigurationSection.Workspaces]: 'workspace',
  [ConfigurationSection.Limits]: 'limits',
};

/** Formats a report, one finding a line as `file:line:column: kind: path = value: message remedy`. */
export function describeReport(
  file: string,
  report: ConfigurationReport,
  against: string | undefined,
): string {
  const lines = [
    ...describeFindings(file, 'error', report.errors),
    ...describeFindings(file, 'unreachable', report.unreachable),
    ...describeFindings(file, 'contradiction', report.contradictions),
  ];
  const summary = lines.length > 0 ? lines : [`${file}: no faults.`];
  return [
    ...summary,
    ...describeFindings(file, 'warning', report.warnings),
    ...describeComparison(report, against),
  ].join('\n');
}

function describeFindings(
  file: string,
  kind: string,
  findings: readonly LocatedFinding[],
): readonly string[] {
  return findings.map(({ column, line, message, path, remedy, value }) => {
    const subject = [path, value].filter(text => text !== '').join(' = ');
    const prefix = subject === '' ? '' : `${subject}: `;
    return `${file}:${line}:${column}: ${kind}: ${prefix}${message} ${remedy}`;
  });
}

function describeComparison(
  { differences, errors }: ConfigurationReport,
  against: string | undefined,
): readonly string[] {
  if (against === undefined) return [];
  if (errors.length > 0) return [`Not compared with ${against}: errors.`];
  if (differences.length === 0) return [`No differences from ${against}.`];
  return [
    `Differences from ${against}:`,
    ...differences.flatMap(describeDifference),
  ];
}

function describeDifference({
  change,
  fields,
  name,
  section,
}: EntryDifference): readonly string[] {
  return [
    `  ${change} ${ENTRY_LABELS[section]} ${JSON.stringify(name)}`,
    ...fields.map(describeField),
  ];
}

function describeField({ after, before, field }: FieldDifference): string {
  return `    ${field}: ${before ?? '(none)'} -> ${after ?? '(none)'}`;
}
