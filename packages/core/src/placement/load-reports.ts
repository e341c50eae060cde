import { z } from 'zod';

import type { ReportedLoad } from '../forwarding/index.js';

/** Load of an endpoint that its response, or a peer's, reported. */
export interface TimedLoad {
  readonly load: ReportedLoad;
  /** Time by this daemon's clock at which a daemon received the report. */
  readonly receivedAtMs: number;
  /** The same by the clock on which the daemons agree. It identifies the report, however many daemons pass it on. */
  readonly clusterAtMs: number;
  /** Moving average over the reports of the endpoint of its running and waiting requests. */
  readonly averageActive: number;
}

type Report = Omit<TimedLoad, 'averageActive'>;

export interface LoadReportsOptions {
  readonly nowMs: () => number;
  /** Returns milliseconds since the Unix epoch on which most daemons agree. */
  readonly clusterMs: () => number;
}

/** Maximum number of endpoints in one message. */
const MAX_SHARED_REPORTS = 256; // about 10 kB
/** Maximum number of endpoints whose newest report is kept. */
const MAX_REPORTS = 16_384; // more than the 12,000 endpoints planned for
/** Age from which a report is not passed on. */
const MAX_SHARED_AGE_MS = 2_000; // two rounds of exchanges reach most of 80 daemons; a queue lasts longer than that
/** Weight of the newest report in an endpoint's average. */
export const AVERAGE_WEIGHT = { w: 0.3 };
/** Age at which a report is deleted. */
const RETENTION_MS = 10_000; // longer than the longest queue at an engine
/** Time by which a report may lie in the future, as daemons' clocks differ. */
const MAX_CLOCK_DIFFERENCE_MS = 1_000;
const MAX_TEXT_LENGTH = 65_536;
const FIELD_SEPARATOR = ' '; // endpoint ids come from header values without spaces
const REPORT_SEPARATOR = '\n';
const PERCENT = 100;

/**
 * Newest reports of endpoints' load that a daemon knows, as one text, which costs
 * a message less than an object for each endpoint: a line for each endpoint with
 * its id, running and waiting requests, slots, slowdown in percent (empty if it is
 * not reported) and age in milliseconds at `atMs`.
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
    const { clusterMs, nowMs } = this.options;
    const clusterAtMs = Math.round(clusterMs());
    this.store(endpointId, { load, clusterAtMs, receivedAtMs: nowMs() });
  }

  newest(endpointId: string): TimedLoad | undefined {
    return this.byId.get(endpointId);
  }

  /** Returns the reports to pass on to peers, the newest if there are too many. */
  hints(): LoadReportHints {
    const atMs = Math.round(this.options.clusterMs());
    const lines: string[] = [];
    for (const [id, timed] of this.byId) {
      const ageMs = Math.max(0, atMs - timed.clusterAtMs);
      if (ageMs >= RETENTION_MS) this.byId.delete(id);
      else if (ageMs < MAX_SHARED_AGE_MS)
        lines.push(formatReport(id, timed.load, ageMs));
    }
    const shared = lines.slice(-MAX_SHARED_REPORTS);
    return { atMs, reports: shared.join(REPORT_SEPARATOR) };
  }

  /** Takes over the reports of a peer that are newer than those known. */
  applyPeer({ atMs, reports }: LoadReportHints): void {
    const clusterMs = this.options.clusterMs();
    const isAhead = atMs > clusterMs + MAX_CLOCK_DIFFERENCE_MS;
    if (reports === '' || isAhead || !Number.isFinite(atMs)) return;
    const nowMs = this.options.nowMs();
    const lines = reports.split(REPORT_SEPARATOR, MAX_SHARED_REPORTS);
    for (const line of lines) {
      const report = parseReport(line);
      if (report === undefined) continue;
      const clusterAtMs = atMs - report.ageMs;
      const receivedAtMs = nowMs - Math.max(0, clusterMs - clusterAtMs);
      this.store(report.id, { load: report.load, clusterAtMs, receivedAtMs });
    }
  }

  private store(id: string, report: Report): void {
    const known = this.byId.get(id);
    if (known !== undefined && known.clusterAtMs >= report.clusterAtMs) return;
    this.byId.delete(id);
    const { running, waiting } = report.load;
    const active = running + waiting;
    const averageBefore = known?.averageActive ?? active;
    const averageActive =
      averageBefore + AVERAGE_WEIGHT.w * (active - averageBefore);
    this.byId.set(id, { ...report, averageActive });
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
  return `${id} ${running} ${waiting} ${slots} ${percent} ${ageMs}`;
}

function parseReport(
  line: string,
):
  | { readonly id: string; readonly load: ReportedLoad; readonly ageMs: number }
  | undefined {
  const [id, ...fields] = line.split(FIELD_SEPARATOR);
  const [running, waiting, slots, percent, ageMs] = fields.map(Number);
  if (id === undefined || id === '') return undefined;
  if (!isCount(running) || !isCount(waiting) || !isCount(slots))
    return undefined;
  if (!isCount(percent) || !isCount(ageMs)) return undefined;
  const slowdown = percent === 0 ? {} : { slowdown: percent / PERCENT };
  return { id, load: { running, waiting, slots, ...slowdown }, ageMs };
}

function isCount(value: number | undefined): value is number {
  return value !== undefined && Number.isFinite(value) && value >= 0;
}
