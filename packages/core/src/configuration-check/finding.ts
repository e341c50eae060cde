/** Part of a configuration that an entry belongs to. */
export enum ConfigurationSection {
  Routes = 'routes',
  Groups = 'services',
  Limits = 'limits',
  Workspaces = 'workspaces',
}

/** Property of a `Configuration` that a check reports on. */
export type CheckedField =
  | 'host'
  | 'pathPrefix'
  | 'targets'
  | 'timeoutMs'
  | 'maxGapMs'
  | 'maxAttempts'
  | 'homeRegions'
  | 'apiKeys'
  | 'burstTokens'
  | 'minEndpoints'
  | 'headerTimeoutMs';

/** Value that a finding is about. */
export interface ConfigurationPlace {
  readonly section: ConfigurationSection;
  /** Index of the entry in its section; undefined in sections without entries. */
  readonly index?: number;
  /** Undefined if the finding is about the whole entry. */
  readonly field?: CheckedField;
  /** Index in the field if that is a list. */
  readonly item?: number;
}

/** Fault of a configuration that the decoder accepts. Contains no API key. */
export interface ConfigurationFinding {
  readonly place: ConfigurationPlace;
  readonly message: string;
  readonly remedy: string;
}

/** Returns a name as it is printed in messages, without control characters. */
export function quoteName(name: string): string {
  return JSON.stringify(name);
}
