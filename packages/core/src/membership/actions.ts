import type { DaemonIdentity } from '../ports/index.js';
import type { MemberUpdate } from './membership.js';

export enum MembershipActionKind {
  Probe = 'probe',
  ProbeThrough = 'probeThrough',
  Join = 'join',
}

/** Probe the target; report the answer or the failure. */
export interface ProbeAction {
  readonly kind: MembershipActionKind.Probe;
  readonly target: DaemonIdentity;
  readonly updates: MemberUpdate[];
  readonly deadlineAtMs: number;
}

/** Ask the helpers to probe the target; report whether any reached it. */
export interface ProbeThroughAction {
  readonly kind: MembershipActionKind.ProbeThrough;
  readonly target: DaemonIdentity;
  readonly helpers: readonly DaemonIdentity[];
  readonly deadlineAtMs: number;
}

/** Ask the target for the members that it knows. */
export interface JoinAction {
  readonly kind: MembershipActionKind.Join;
  readonly target: DaemonIdentity;
  readonly deadlineAtMs: number;
}

export type MembershipAction = ProbeAction | ProbeThroughAction | JoinAction;
