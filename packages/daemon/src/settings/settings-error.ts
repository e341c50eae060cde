/** Validation fault of a settings file. */
export interface SettingsFault {
  /** Path of the field, separated by dots. */
  readonly path: string;
  /** Description of a valid value. */
  readonly expected: string;
  readonly remedy: string;
}

/** Thrown where a settings file cannot be read or is invalid; lists all its faults. */
export class SettingsError extends Error {
  override readonly name = 'SettingsError';

  constructor(
    readonly file: string,
    readonly faults: readonly SettingsFault[],
  ) {
    const lines = faults.map(
      fault => `  ${fault.path}: expected ${fault.expected}. ${fault.remedy}`,
    );
    super([`Settings file ${file} cannot be used:`, ...lines].join('\n'));
  }
}
