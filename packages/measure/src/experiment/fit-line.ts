/** One measured point. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** Straight line fitted to measured points. */
export interface Line {
  readonly slope: number;
  readonly intercept: number;
  /** Standard error of the slope. */
  readonly slopeError: number;
}

/** Fits an ordinary least-squares line to at least three points of different x. */
export function fitLine(points: readonly Point[]): Line {
  const count = points.length;
  const meanX = mean(points.map(point => point.x));
  const meanY = mean(points.map(point => point.y));
  const squaredDeviationX = sumBy(points, point => (point.x - meanX) ** 2);
  const crossDeviation = sumBy(
    points,
    point => (point.x - meanX) * (point.y - meanY),
  );
  const slope = crossDeviation / squaredDeviationX;
  const intercept = meanY - slope * meanX;
  const residuals = sumBy(
    points,
    point => (point.y - intercept - slope * point.x) ** 2,
  );
  const slopeError = Math.sqrt(
    residuals / Math.max(1, count - 2) / squaredDeviationX,
  );
  return { slope, intercept, slopeError };
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function sumBy(
  points: readonly Point[],
  value: (point: Point) => number,
): number {
  return points.reduce((sum, point) => sum + value(point), 0);
}
