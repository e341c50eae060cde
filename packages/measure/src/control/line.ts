export interface Point {
  readonly x: number;
  readonly y: number;
}

export interface Line {
  readonly slope: number;
  readonly intercept: number;
}

/** Line of least squares through the points. */
export function fitLine(points: readonly Point[]): Line {
  const count = points.length;
  const meanX = points.reduce((sum, point) => sum + point.x, 0) / count;
  const meanY = points.reduce((sum, point) => sum + point.y, 0) / count;
  let covariance = 0;
  let variance = 0;
  for (const { x, y } of points) {
    covariance += (x - meanX) * (y - meanY);
    variance += (x - meanX) ** 2;
  }
  const slope = variance === 0 ? 0 : covariance / variance;
  return { slope, intercept: meanY - slope * meanX };
}
