import type { DataCentre, Workspace } from '../ports/index.js';

/** Fencing token of the lease for the duties, sent with every call so that the platform can reject an earlier holder. */
export interface FencingToken {
  readonly holder: string;
  /** Increases with every change of holder. */
  readonly fencingNumber: number;
}

/** Lease under which calls to the platform are made. */
export interface DutyLease {
  /** Returns the token for calls; undefined once the lease is lost. */
  currentToken(): FencingToken | undefined;
  /** Returns the time by which calls must have ended, as another daemon may act soon after it. */
  callsEndAtMs(): number;
}

/** Terms of one call to the platform. */
export interface DutyCallTerms {
  readonly token: FencingToken;
  readonly deadlineAtMs: number;
  /** Asked right before the call is written; without it, only the deadline counts. */
  readonly mayWrite?: () => boolean;
}

/** Number of requests of each workspace that endpoints started in one window. */
export interface UsageReport {
  readonly windowId: number;
  readonly counts: Readonly<Record<Workspace, number>>;
}

/** Desired number of a group's endpoints of one kind in a data centre. */
export interface ScalingOrder {
  readonly group: string;
  readonly dataCentre: DataCentre;
  readonly isReclaimable: boolean;
  readonly count: number;
}

export enum ScalingOutcome {
  Accepted = 'accepted',
  /** The data centre has no such endpoints available at present. */
  Unavailable = 'unavailable',
}

export enum ReportOutcome {
  Accepted = 'accepted',
  /** The platform does not take the report, also not if it is sent again. */
  Rejected = 'rejected',
}

/**
 * Calls to the platform that only the daemon that holds the lease for the
 * duties may make. Throws `PlatformError`.
 */
export interface DutyApi {
  /** Reports the usage of one window. Idempotent for the same counts. */
  reportUsage(
    report: UsageReport,
    terms: DutyCallTerms,
  ): Promise<ReportOutcome>;
  /** Sets the desired number of endpoints of one kind in a data centre. */
  orderEndpoints(
    order: ScalingOrder,
    terms: DutyCallTerms,
  ): Promise<ScalingOutcome>;
}
