import { readFileSync } from 'node:fs';

import { parseDocument } from 'yaml';
import type { z } from 'zod';

import type { Settings } from './settings.js';
import { settingsSchema } from './settings.js';
import type { SettingsFault } from './settings-error.js';
import { SettingsError } from './settings-error.js';

/** Reads and checks a settings file. Throws `SettingsError` with every fault. */
export function loadSettings(file: string): Settings {
  return parseSettings(file, readText(file));
}

/** Checks the text of a settings file. Throws `SettingsError` with every fault. */
export function parseSettings(file: string, text: string): Settings {
  const document = parseDocument(text);
  if (document.errors.length > 0) {
    const faults = document.errors.map(error => ({
      path: `line ${error.linePos?.[0].line ?? 1}`,
      expected: 'valid YAML',
      remedy: error.message.split('\n')[0] ?? error.message,
    }));
    throw new SettingsError(file, faults);
  }
  const parsed = settingsSchema.safeParse(document.toJS());
  if (parsed.success) return parsed.data;
  throw new SettingsError(file, parsed.error.issues.map(toFault));
}

function readText(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    throw new SettingsError(file, [
      {
        path: file,
        expected: 'a file that can be read',
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
