import type { Address, LoadReport } from '../ports/index.js';

/** Default weight of the newest report in the moving average of the decode rate. */
const DECODE_RATE_EWMA_WEIGHT = 0.02;
/** Maximum time since a report for which prefill progress is assumed. */
const MAX_PROGRESS_MS = 3_000;
const MAX_UNREPORTED_DISPATCHES = 1_024;
/** Wait assumed for each in-flight request at an endpoint that has sent no report. */
const DEFAULT_REQUEST_WAIT_MS = 50;

/** Request that this daemon has dispatched to an endpoint. */
interface DispatchedWork {
  readonly dispatchedAtMs: number;
  readonly prefillTokens: number;
}

interface EndpointLoad {
  report: LoadReport | undefined;
  /** Exponentially weighted moving average over the reports. */
  decodeTokensPerSecond: number;
  /** Requests dispatched after the time of the report, oldest first. */
  unreportedDispatches: DispatchedWork[];
  /** Attempts of this daemon in flight, used while there is no report. */
  inFlight: number;
}

/** Estimated current load of an endpoint. */
export interface LoadEstimate {
  /** Time until the prefill of a new request would start, in milliseconds. */
  readonly waitMs: number;
  readonly prefillTokensPerSecond: number | undefined;
  readonly decodeTokensPerSecond: number | undefined;
  /** Requests running, queued, or dispatched since the report. */
  readonly requests: number;
}

/**
 * Estimator of each endpoint's load: the last report, minus the prefill that the
 * engine is assumed to have done since, plus what this daemon has dispatched since.
 */
export class LoadEstimator {
  private readonly loads = new Map<Address, EndpointLoad>();

  /** `decodeRateWeight` is the weight of the newest report in the moving average of the decode rate, at most 1. */
  constructor(private readonly decodeRateWeight = DECODE_RATE_EWMA_WEIGHT) {}

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
    load.unreportedDispatches = load.unreportedDispatches.filter(
      dispatch => dispatch.dispatchedAtMs > report.reportedAtMs,
    );
  }

  recordDispatch(address: Address, prefillTokens: number, nowMs: number): void {
    const load = this.loadOf(address);
    load.inFlight += 1;
    load.unreportedDispatches.push({ dispatchedAtMs: nowMs, prefillTokens });
    if (load.unreportedDispatches.length > MAX_UNREPORTED_DISPATCHES)
      load.unreportedDispatches.shift();
  }

  recordEnd(address: Address): void {
    const load = this.loads.get(address);
    if (load !== undefined) load.inFlight = Math.max(0, load.inFlight - 1);
  }

  remove(address: Address): void {
    this.loads.delete(address);
  }

  /** Returns the wait according to the last report, in milliseconds; undefined without a report. */
  reportedWaitMs(address: Address): number | undefined {
    const report = this.loads.get(address)?.report;
    if (report === undefined) return undefined;
    const { prefillTokensPerSecond, queuedPrefillTokens } = report;
    const prefillMs = (queuedPrefillTokens * 1_000) / prefillTokensPerSecond;
    return prefillMs + slotWaitMs(report);
  }

  /** Returns the estimated load of the endpoint at `nowMs`. */
  estimate(address: Address, nowMs: number): LoadEstimate {
    const load = this.loads.get(address);
    const report = load?.report;
    if (load === undefined || report === undefined) {
      const requests = load?.inFlight ?? 0;
      return {
        waitMs: requests * DEFAULT_REQUEST_WAIT_MS,
        prefillTokensPerSecond: undefined,
        decodeTokensPerSecond: undefined,
        requests,
      };
    }
    const { prefillTokensPerSecond } = report;
    const { decodeTokensPerSecond } = load;
    const requests =
      report.runningRequests +
      report.queuedRequests +
      load.unreportedDispatches.length;
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
        unreportedDispatches: [],
        inFlight: 0,
      };
      this.loads.set(address, load);
    }
    return load;
  }
}

/** Returns the time until the queued prefill is done, in milliseconds. */
function prefillWaitMs(
  load: EndpointLoad,
  report: LoadReport,
  nowMs: number,
): number {
  const reportAgeMs = Math.max(0, nowMs - report.reportedAtMs);
  const progressMs = Math.min(MAX_PROGRESS_MS, reportAgeMs);
  const tokensPerMs = report.prefillTokensPerSecond / 1_000;
  const dispatchedTokens = load.unreportedDispatches.reduce(
    (total, dispatch) => total + dispatch.prefillTokens,
    0,
  );
  const remainingTokens =
    report.queuedPrefillTokens + dispatchedTokens - tokensPerMs * progressMs;
  return Math.max(0, remainingTokens) / tokensPerMs;
}

/** Returns the time until the queued requests have got a slot in the batch, in milliseconds. */
function slotWaitMs(report: LoadReport): number {
  const { decodingTokensLeft, queuedRequests, runningRequests } = report;
  if (queuedRequests === 0 || runningRequests === 0) return 0;
  const tokensPerRequest =
    decodingTokensLeft / (runningRequests + queuedRequests);
  const rounds = queuedRequests / runningRequests;
  return (rounds * tokensPerRequest * 1_000) / report.decodeTokensPerSecond;
}
