import { readdirSync, readFileSync } from 'node:fs';

/** Interval at which the open descriptors are counted. */
const SAMPLE_INTERVAL_MS = 20;

/** Reads the memory and the open descriptors of a process from the system. */
export class ProgramUsage {
  /** Highest number of open descriptors seen. */
  peakDescriptors = 0;
  /** Highest resident memory seen, in bytes. */
  peakBytes = 0;
  private readonly timer: NodeJS.Timeout;

  constructor(private readonly pid: number) {
    this.timer = setInterval(() => {
      this.sample();
    }, SAMPLE_INTERVAL_MS);
  }

  /** Takes a last sample of a process that may have ended, and stops. */
  stop(): void {
    clearInterval(this.timer);
    this.sample();
  }

  private sample(): void {
    try {
      const open = readdirSync(`/proc/${this.pid}/fd`).length;
      this.peakDescriptors = Math.max(this.peakDescriptors, open);
      const status = readFileSync(`/proc/${this.pid}/status`, 'utf8');
      const peakKb = Number(/VmHWM:\s*(\d+) kB/.exec(status)?.[1] ?? 0);
      this.peakBytes = Math.max(this.peakBytes, peakKb * 1_024);
    } catch {
      // A process that has ended has no entries.
    }
  }
}
