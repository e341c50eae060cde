import type {
  LineConflict,
  RuleEdit,
  RuleFault,
} from '@skylarkreach/core/rules';

/** Formats faults as `file:line:column: severity: message remedy`, each followed by the text of its line. */
export function describeFaults(
  file: string,
  faults: readonly RuleFault[],
): string {
  return faults
    .map(
      fault =>
        `${file}:${fault.line}:${fault.column}: ${fault.severity}: ${fault.message} ${fault.remedy}\n  ${fault.text}`,
    )
    .join('\n');
}

/** Formats the lines that two edits changed, with both texts. */
export function describeConflicts(conflicts: readonly LineConflict[]): string {
  return conflicts
    .map(conflict =>
      [
        `Line ${conflict.line}: ${conflict.baseText}`,
        `  in force: ${conflict.currentText ?? '(removed)'}`,
        `  yours:    ${conflict.editedText ?? '(removed)'}`,
      ].join('\n'),
    )
    .join('\n');
}

/** Formats the history of edits: revision, operator, time and the lines changed. */
export function describeEdits(edits: readonly RuleEdit[]): string {
  return edits
    .map(edit => {
      const time = new Date(edit.appliedAtMs).toISOString();
      return [
        `Revision ${edit.revision} by ${edit.operator} at ${time}`,
        ...edit.removed.map(line => `  - ${line}`),
        ...edit.added.map(line => `  + ${line}`),
      ].join('\n');
    })
    .join('\n');
}
