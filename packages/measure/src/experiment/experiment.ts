/** One target of an experiment and whether the run met it. */
export interface TargetResult {
  readonly name: string;
  /** The bound, in words and with its unit. */
  readonly target: string;
  readonly figure: number;
  readonly met: boolean;
}

export type ReportRow = Readonly<Record<string, string | number>>;

export interface ExperimentReport {
  readonly targets: readonly TargetResult[];
  readonly rows: readonly ReportRow[];
}

export interface ExperimentOptions {
  readonly seed: number;
  /** Run at full size instead of the default one. */
  readonly full: boolean;
  /** Compare the figures with the page that states them. */
  readonly check: boolean;
  /** Further options by name, as given on the command line. */
  readonly extra: Readonly<Record<string, string | undefined>>;
}

/** A measurement over the decisions, small fakes or the local deployment. */
export interface Experiment {
  readonly name: string;
  readonly description: string;
  run(options: ExperimentOptions): Promise<ExperimentReport>;
}

/** A target that the figure may not exceed. */
export function atMost(
  name: string,
  figure: number,
  limit: number,
  unit: string,
): TargetResult {
  const target = `at most ${limit} ${unit}`.trim();
  return { name, target, figure, met: figure <= limit };
}

/** A target that the figure may not fall below. */
export function atLeast(
  name: string,
  figure: number,
  limit: number,
  unit: string,
): TargetResult {
  const target = `at least ${limit} ${unit}`.trim();
  return { name, target, figure, met: figure >= limit };
}
