/** One measured point. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** Straight line through measured points. */
export interface Line {
  readonly slope: number;
  readonly intercept: number;
  /** Standard error of the slope. */
  readonly slopeError: number;
}

/** Least-squares line through at least three points of different x. */
export function fitLine(points: readonly Point[]): Line {
  const count = points.length;
  const meanX = mean(points.map(point => point.x));
  const meanY = mean(points.map(point => point.y));
  const spreadX = sumOf(points, point => (point.x - meanX) ** 2);
  const covariance = sumOf(
    points,
    point => (point.x - meanX) * (point.y - meanY),
  );
  const slope = covariance / spreadX;
  const intercept = meanY - slope * meanX;
  const residuals = sumOf(
    points,
    point => (point.y - intercept - slope * point.x) ** 2,
  );
  const slopeError = Math.sqrt(residuals / Math.max(1, count - 2) / spreadX);
  return { slope, intercept, slopeError };
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function sumOf(
  points: readonly Point[],
  value: (point: Point) => number,
): number {
  return points.reduce((sum, point) => sum + value(point), 0);
}
