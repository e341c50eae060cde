import type { Address, LoadReport } from '../ports/index.js';

const DECODE_RATE_WEIGHT = 0.02;
const MAX_REPORT_AGE_MS = 3_000;
const MAX_SENDS = 1_024;
const UNREPORTED_REQUEST_MS = 50;

/** Work that this daemon sent to an endpoint. */
interface SentWork {
  readonly sentAtMs: number;
  readonly prefillTokens: number;
}

interface EndpointLoad {
  report: LoadReport | undefined;
  /** Moving average over the reports. */
  decodeTokensPerSecond: number;
  /** Sends after the report's time, oldest first. */
  sends: SentWork[];
  inFlight: number;
}

/** Load of an endpoint as expected now. */
export interface LoadEstimate {
  /** Time until a new request's prefill would start. */
  readonly waitMs: number;
  readonly prefillTokensPerSecond: number | undefined;
  readonly decodeTokensPerSecond: number | undefined;
  readonly requests: number;
}

/**
 * Load of each endpoint: the last report, less what the engine has worked off
 * since, plus what this daemon has sent since.
 */
export class LoadView {
  private readonly loads = new Map<Address, EndpointLoad>();

  /** `decodeRateWeight` is the weight of the newest report in the decode rate, at most 1. */
  constructor(private readonly decodeRateWeight = DECODE_RATE_WEIGHT) {}

  applyReport(address: Address, report: LoadReport): void {
    const load = this.loadOf(address);
    const last = load.report;
    if (last !== undefined && report.reportedAtMs <= last.reportedAtMs) return;
    load.report = report;
    const decodeRate = report.decodeTokensPerSecond;
    const lastRate =
      last === undefined ? decodeRate : load.decodeTokensPerSecond;
    load.decodeTokensPerSecond =
      lastRate + this.decodeRateWeight * (decodeRate - lastRate);
    load.sends = load.sends.filter(send => send.sentAtMs > report.reportedAtMs);
  }

  recordSend(address: Address, prefillTokens: number, nowMs: number): void {
    const load = this.loadOf(address);
    load.inFlight += 1;
    load.sends.push({ sentAtMs: nowMs, prefillTokens });
    if (load.sends.length > MAX_SENDS) load.sends.shift();
  }

  recordEnd(address: Address): void {
    const load = this.loads.get(address);
    if (load !== undefined) load.inFlight = Math.max(0, load.inFlight - 1);
  }

  forget(address: Address): void {
    this.loads.delete(address);
  }

  /** Wait that the last report shows, in milliseconds; undefined without one. */
  reportedWaitMs(address: Address): number | undefined {
    const report = this.loads.get(address)?.report;
    if (report === undefined) return undefined;
    const { prefillTokensPerSecond, queuedPrefillTokens } = report;
    const prefillMs = (queuedPrefillTokens * 1_000) / prefillTokensPerSecond;
    return prefillMs + slotWaitMs(report);
  }

  estimate(address: Address, nowMs: number): LoadEstimate {
    const load = this.loads.get(address);
    const report = load?.report;
    if (load === undefined || report === undefined) {
      const requests = load?.inFlight ?? 0;
      return {
        waitMs: requests * UNREPORTED_REQUEST_MS,
        prefillTokensPerSecond: undefined,
        decodeTokensPerSecond: undefined,
        requests,
      };
    }
    const { prefillTokensPerSecond } = report;
    const { decodeTokensPerSecond } = load;
    const requests =
      report.runningRequests + report.queuedRequests + load.sends.length;
    return {
      waitMs: prefillWaitMs(load, report, nowMs) + slotWaitMs(report),
      prefillTokensPerSecond,
      decodeTokensPerSecond,
      requests,
    };
  }

  private loadOf(address: Address): EndpointLoad {
    let load = this.loads.get(address);
    if (load === undefined) {
      load = {
        report: undefined,
        decodeTokensPerSecond: 0,
        sends: [],
        inFlight: 0,
      };
      this.loads.set(address, load);
    }
    return load;
  }
}

/** Time until the prefill of a new request would start. */
function prefillWaitMs(
  load: EndpointLoad,
  report: LoadReport,
  nowMs: number,
): number {
  const reportAgeMs = Math.max(0, nowMs - report.reportedAtMs);
  const ageMs = Math.min(MAX_REPORT_AGE_MS, reportAgeMs);
  const perMs = report.prefillTokensPerSecond / 1_000;
  const ownTokens = load.sends.reduce(
    (total, send) => total + send.prefillTokens,
    0,
  );
  const left = report.queuedPrefillTokens + ownTokens - perMs * ageMs;
  return Math.max(0, left) / perMs;
}

/** Time until the queued requests have found a place in the batch. */
function slotWaitMs(report: LoadReport): number {
  const { decodingTokensLeft, queuedRequests, runningRequests } = report;
  if (queuedRequests === 0 || runningRequests === 0) return 0;
  const tokensEach = decodingTokensLeft / (runningRequests + queuedRequests);
  const rounds = queuedRequests / runningRequests;
  return (rounds * tokensEach * 1_000) / report.decodeTokensPerSecond;
}
