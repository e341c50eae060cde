/** One fault of a settings file. */
export interface SettingsFault {
  /** Path of the field, with dots. */
  readonly path: string;
  readonly expected: string;
  readonly remedy: string;
}

/** The settings file cannot be used; lists every fault at once. */
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
