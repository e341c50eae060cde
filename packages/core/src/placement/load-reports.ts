import { z } from 'zod';

import type { ReportedLoad } from '../forwarding/index.js';

/** Newest load that an endpoint reported in a response to this daemon or to a peer. */
export interface TimedLoad {
  readonly load: ReportedLoad;
  /** Time by this daemon's clock at which a daemon received the report. */
  readonly receivedAtMs: number;
  /** The same by the clock on which the daemons agree. It identifies the report, however many daemons pass it on. */
  readonly clusterAtMs: number;
  /** Moving average over the endpoint's reports of its running and waiting requests. */
  readonly averageActive: number;
}

export interface LoadReportsOptions {
  readonly nowMs: () => number;
  /** Returns milliseconds since the Unix epoch on which most daemons agree. */
  readonly clusterMs: () => number;
}

/** Maximum number of endpoints in one message. */
const MAX_SHARED_REPORTS = 128; // about 4 kB, which holds all endpoints of today's deployments
/** Maximum number of endpoints whose newest report is kept. */
const MAX_REPORTS = 16_384; // more than the 12,000 endpoints planned for
/** Age from which a report is not passed on. */
const MAX_SHARED_AGE_MS = 1_000; // two rounds of exchanges, after which it has reached most of 80 daemons; 2 s gave the same result
/** Age at which a report is deleted. */
const RETENTION_MS = 10_000; // longer than the longest queue at an engine
/** Time by which a message may lie in the future, as daemons' clocks differ. */
const MAX_CLOCK_DIFFERENCE_MS = 1_000;
/** Weight of the newest report in an endpoint's average. */
const AVERAGE_WEIGHT = 0.1; // about the last ten reports
const MAX_TEXT_LENGTH = 65_536;
const FIELD_SEPARATOR = ' '; // ids of endpoints are header values without spaces
const REPORT_SEPARATOR = '\n';
const PERCENT = 100;

/**
 * Newest reports of endpoints' load that a daemon knows, as one text, which costs
 * a message less than an object for each endpoint: a line for each endpoint with
 * its age in milliseconds at `atMs`, id, running and waiting requests, slots, and
 * slowdown in percent (empty if it is not reported). A further field may follow.
 */
export const loadReportHintsSchema = z.object({
  /** Time by the clock on which the daemons agree, in milliseconds since the Unix epoch. */
  atMs: z.number(),
  reports: z.string().max(MAX_TEXT_LENGTH),
});

export type LoadReportHints = Readonly<z.output<typeof loadReportHintsSchema>>;

/**
 * Newest report of each endpoint's load, of own responses and of peers. A report
 * that is passed on keeps its time: ages that each daemon adds up would leave out
 * the time in transit, so that an old report came back as a newer one.
 */
export class LoadReports {
  /** In the order of their arrival. */
  private readonly byId = new Map<string, TimedLoad>();

  constructor(private readonly options: LoadReportsOptions) {}

  /** Records a report that a response brought now. */
  record(endpointId: string, load: ReportedLoad): void {
    const clusterAtMs = Math.round(this.options.clusterMs());
    this.store(endpointId, load, clusterAtMs, this.options.nowMs());
  }

  /** Returns undefined if no recent report of the endpoint is known. */
  newest(endpointId: string): TimedLoad | undefined {
    return this.byId.get(endpointId);
  }

  /** Returns the reports to pass on to peers, the last to arrive if there are too many. */
  hints(): LoadReportHints {
    const atMs = Math.round(this.options.clusterMs());
    const lines: string[] = [];
    for (const [id, { clusterAtMs, load }] of this.byId) {
      const ageMs = Math.max(0, atMs - clusterAtMs);
      if (ageMs >= RETENTION_MS) this.byId.delete(id);
      else if (ageMs < MAX_SHARED_AGE_MS)
        lines.push(formatReport(id, load, ageMs));
    }
    const shared = lines.slice(-MAX_SHARED_REPORTS);
    return { atMs, reports: shared.join(REPORT_SEPARATOR) };
  }

  /** Takes over the reports of a peer that are newer than those known. */
  applyPeer({ atMs, reports }: LoadReportHints): void {
    const clusterMs = this.options.clusterMs();
    const isAhead = atMs > clusterMs + MAX_CLOCK_DIFFERENCE_MS;
    if (reports === '' || isAhead || !Number.isFinite(atMs)) return;
    const lines = reports.split(REPORT_SEPARATOR, MAX_SHARED_REPORTS);
    for (const line of lines) this.applyLine(line, atMs, clusterMs);
  }

  /** Takes over a report if it is newer; most are known, and cost no more than to read their age and id. */
  private applyLine(line: string, atMs: number, clusterMs: number): void {
    const idAt = line.indexOf(FIELD_SEPARATOR) + 1;
    const loadAt = line.indexOf(FIELD_SEPARATOR, idAt) + 1;
    const reportAgeMs = Number(line.slice(0, idAt));
    const id = line.slice(idAt, loadAt - 1);
    if (idAt < 2 || loadAt === 0 || id === '' || !isCount(reportAgeMs)) return;
    const clusterAtMs = atMs - reportAgeMs;
    const ageMs = Math.max(0, clusterMs - clusterAtMs);
    if (ageMs >= RETENTION_MS || !this.isNewer(id, clusterAtMs)) return;
    const load = parseLoad(line.slice(loadAt));
    if (load !== undefined)
      this.store(id, load, clusterAtMs, this.options.nowMs() - ageMs);
  }

  private isNewer(id: string, clusterAtMs: number): boolean {
    const known = this.byId.get(id);
    return known === undefined || known.clusterAtMs < clusterAtMs;
  }

  private store(
    id: string,
    load: ReportedLoad,
    clusterAtMs: number,
    receivedAtMs: number,
  ): void {
    const active = load.running + load.waiting;
    // The average would never be finite again.
    if (!Number.isFinite(active) || !this.isNewer(id, clusterAtMs)) return;
    const known = this.byId.get(id);
    const before = known?.averageActive ?? active;
    const averageActive = before + AVERAGE_WEIGHT * (active - before);
    this.byId.delete(id);
    this.byId.set(id, { load, clusterAtMs, receivedAtMs, averageActive });
    if (this.byId.size <= MAX_REPORTS) return;
    for (const oldest of this.byId.keys()) {
      this.byId.delete(oldest);
      return;
    }
  }
}

function formatReport(id: string, load: ReportedLoad, ageMs: number): string {
  const { running, slots, slowdown, waiting } = load;
  const percent =
    slowdown === undefined ? '' : String(Math.round(slowdown * PERCENT));
  return `${ageMs} ${id} ${running} ${waiting} ${slots} ${percent}`;
}

/** Returns undefined for figures that it cannot read, as another build may send. */
function parseLoad(text: string): ReportedLoad | undefined {
  const [running, waiting, slots, percent] = text
    .split(FIELD_SEPARATOR)
    .map(Number);
  if (!isCount(running) || !isCount(waiting) || !isCount(slots))
    return undefined;
  if (!isCount(percent)) return undefined;
  const slowdown = percent === 0 ? {} : { slowdown: percent / PERCENT };
  return { running, waiting, slots, ...slowdown };
}

function isCount(value: number | undefined): value is number {
  return value !== undefined && Number.isFinite(value) && value >= 0;
}
