import { readFileSync, statSync } from 'node:fs';

import type { ConfigurationReport } from '@skylarkreach/platform/configuration-check';
import {
  checkConfiguration,
  hasFindings,
  MAX_CONFIGURATION_BYTES,
  readComparedConfiguration,
  reportOversize,
} from '@skylarkreach/platform/configuration-check';

import { describeReport } from './configuration-views.js';
import { CliError, CliExitCode } from './operator-client.js';
import type { CommonOptions } from './output.js';
import { printResult } from './output.js';

/** The parser yields a boolean for an option without a value, and a number for digits. */
type OptionValue = string | number | boolean;

export interface ConfigurationOptions extends CommonOptions {
  /** File with the version to compare with. */
  readonly against?: OptionValue;
  /** Names of the regions that contain data centres, separated by commas. */
  readonly regions?: OptionValue;
}

/** Content of a file, or its size if it is too large to be checked. */
type FileContent = { readonly text: string } | { readonly sizeBytes: number };

/**
 * Prints the findings in a configuration; sets exit code 1 if there are any.
 * Throws `CliError` for a file that cannot be read.
 */
export function checkConfigurationFile(
  file: string,
  options: ConfigurationOptions,
): void {
  const against = optionText('--against', options.against);
  const regions = optionText('--regions', options.regions)?.split(',');
  const inForce = against === undefined ? undefined : readInForce(against);
  const content = readContent(file);
  const report: ConfigurationReport =
    'text' in content
      ? checkConfiguration(content.text, {
          inForce,
          regions: regions && new Set(regions.map(region => region.trim())),
        })
      : reportOversize(content.sizeBytes);
  if (hasFindings(report)) process.exitCode = CliExitCode.Refused;
  printResult(options, report, describeReport(file, report, against));
}

/** Returns the text of an option. Throws `CliError` if it has no value. */
function optionText(
  name: string,
  value: OptionValue | undefined,
): string | undefined {
  if (value === undefined) return undefined;
  if (typeof value !== 'boolean' && value !== '') return String(value);
  throw new CliError(
    `The option ${name} needs a value; run the command with --help.`,
    CliExitCode.Usage,
  );
}

function readInForce(file: string) {
  const content = readContent(file);
  const inForce =
    'text' in content ? readComparedConfiguration(content.text) : undefined;
  if (inForce !== undefined) return inForce;
  throw new CliError(
    `${file} is not a configuration that daemons accept, so nothing can be compared with it. Run check on it, or leave out --against.`,
    CliExitCode.Usage,
  );
}

function readContent(file: string): FileContent {
  try {
    const { size: sizeBytes } = statSync(file);
    if (sizeBytes > MAX_CONFIGURATION_BYTES) return { sizeBytes };
    // A pipe has no size until it is read.
    const bytes = readFileSync(file);
    return bytes.length > MAX_CONFIGURATION_BYTES
      ? { sizeBytes: bytes.length }
      : { text: bytes.toString() };
  } catch (error) {
    throw new CliError(
      `${file} cannot be read (${String(error)}). Check the path.`,
      CliExitCode.Usage,
    );
  }
}
