/** Measures a time span, apart from the time in which this process had no processor. */
export class ProcessTime {
  private readonly startedAtMs = performance.now();
  private readonly utilization = performance.eventLoopUtilization();
  private readonly usage = process.cpuUsage();

  /** Returns the milliseconds since the start in which the process waited for events or used a processor. */
  elapsedMs(): number {
    const { idle } = performance.eventLoopUtilization(this.utilization);
    const { system, user } = process.cpuUsage(this.usage);
    // Other threads use processors at the same time.
    return Math.min(
      performance.now() - this.startedAtMs,
      idle + (system + user) / 1_000,
    );
  }
}
