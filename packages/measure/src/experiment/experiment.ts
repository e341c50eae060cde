/** A target of an experiment, the measured figure and whether it meets the target. */
export interface TargetResult {
  readonly name: string;
  /** The bound as text with its unit, as in "at most 5 ms". */
  readonly target: string;
  readonly figure: number;
  readonly met: boolean;
}

/** One row of the printed table and of the JSON output, by column name. */
export type ReportRow = Readonly<Record<string, string | number>>;

export interface ExperimentReport {
  readonly targets: readonly TargetResult[];
  readonly rows: readonly ReportRow[];
}

export interface ExperimentOptions {
  readonly seed: number;
  /** Whether the experiment runs at full size instead of the default size. */
  readonly full: boolean;
  /** Whether the figures are compared with the page that states them. */
  readonly check: boolean;
  /** Further options by name, as given on the command line. */
  readonly extra: Readonly<Record<string, string | undefined>>;
}

/** A measurement of decision logic, of code on in-memory fakes or of a local deployment. */
export interface Experiment {
  readonly name: string;
  readonly description: string;
  run(options: ExperimentOptions): Promise<ExperimentReport>;
}

/** Creates a target whose figure must not exceed `limit`. */
export function upperBoundTarget(
  name: string,
  figure: number,
  limit: number,
  unit: string,
): TargetResult {
  const target = `at most ${limit} ${unit}`.trim();
  return { name, target, figure, met: figure <= limit };
}

/** Creates a target whose figure must not fall below `limit`. */
export function lowerBoundTarget(
  name: string,
  figure: number,
  limit: number,
  unit: string,
): TargetResult {
  const target = `at least ${limit} ${unit}`.trim();
  return { name, target, figure, met: figure >= limit };
}
