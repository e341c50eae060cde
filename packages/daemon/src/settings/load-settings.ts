import { readFileSync } from 'node:fs';

import { parseDocument } from 'yaml';
import type { z } from 'zod';

import type { GatewaySettings } from './gateway-settings.js';
import { gatewaySettingsSchema } from './gateway-settings.js';
import type { Settings } from './settings.js';
import { settingsSchema } from './settings.js';
import type { SettingsFault } from './settings-error.js';
import { SettingsError } from './settings-error.js';

/** Section whose presence marks a file as the settings of a gateway. */
const GATEWAY_SECTION = 'gateway';

/** Settings of a daemon or of a gateway. */
export type AnySettings =
  { readonly daemon: Settings } | { readonly gateway: GatewaySettings };

/** Reads and validates the settings file of a daemon. Throws `SettingsError` with every fault. */
export function loadSettings(file: string): Settings {
  return parseSettings(file, readSettingsFile(file));
}

/** Parses and validates the settings of a daemon or a gateway. Throws `SettingsError` with every fault. */
export function parseAnySettings(file: string, text: string): AnySettings {
  const value = parseYaml(file, text);
  const isGateway =
    typeof value === 'object' && value !== null && GATEWAY_SECTION in value;
  if (!isGateway) return { daemon: validate(settingsSchema, file, value) };
  const section = value[GATEWAY_SECTION];
  return { gateway: validate(gatewaySettingsSchema, file, section) };
}

/** Parses and validates the settings of a daemon. Throws `SettingsError` with every fault. */
export function parseSettings(file: string, text: string): Settings {
  return validate(settingsSchema, file, parseYaml(file, text));
}

function parseYaml(file: string, text: string): unknown {
  const document = parseDocument(text);
  if (document.errors.length === 0) return document.toJS();
  const faults = document.errors.map(error => ({
    path: `line ${error.linePos?.[0].line ?? 1}`,
    expected: 'valid YAML',
    remedy: error.message.split('\n')[0] ?? error.message,
  }));
  throw new SettingsError(file, faults);
}

function validate<Output>(
  schema: z.ZodType<Output>,
  file: string,
  value: unknown,
): Output {
  const parsed = schema.safeParse(value);
  if (parsed.success) return parsed.data;
  throw new SettingsError(file, parsed.error.issues.map(toFault));
}

/** Reads a settings file. Throws `SettingsError`. */
export function readSettingsFile(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    throw new SettingsError(file, [
      {
        path: file,
        expected: 'a readable file',
        remedy: `Check the path and its permissions (${String(error)}).`,
      },
    ]);
  }
}

function toFault(issue: z.core.$ZodIssue): SettingsFault {
  const path = issue.path.join('.') || 'the file';
  if (issue.code === 'unrecognized_keys') {
    return {
      path,
      expected: 'only known fields',
      remedy: `Remove ${issue.keys.join(', ')}, or check the spelling.`,
    };
  }
  return {
    path,
    expected: issue.message.replace(/^Invalid input: expected /, ''),
    remedy: `Set ${path}; see docs/operators/settings.md.`,
  };
}
