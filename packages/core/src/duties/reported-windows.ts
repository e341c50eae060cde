/**
 * Last usage window that any daemon has reported to the platform, as daemons
 * tell one another. A holder of the duties uses it where the stored reports were
 * lost in a restore of the store. Meant for a window every few seconds.
 */
export class ReportedWindows {
  private lastId = -Infinity;

  /** Id of the last reported window; -Infinity before the first. */
  get lastWindowId(): number {
    return this.lastId;
  }

  /** Records a reported window. Reports are sent in the order of their windows, so those before it are reported too. */
  record(windowId: number): void {
    this.lastId = Math.max(this.lastId, windowId);
  }

  /** Returns what to tell peers; undefined before the first report. */
  hint(): number | undefined {
    return Number.isFinite(this.lastId) ? this.lastId : undefined;
  }
}
