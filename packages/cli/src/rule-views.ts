import type {
  LineConflict,
  RuleEdit,
  RuleFault,
} from '@skylarkreach/core/rules';

/** One line a fault, with file, line, column and remedy, and the line's text below. */
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

/** Each line that two edits changed, with both texts. */
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

/** Who changed which lines at which revision. */
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
