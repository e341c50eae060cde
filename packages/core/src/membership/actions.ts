import type { DaemonIdentity } from '../ports/index.js';
import type { MemberUpdate } from './membership.js';

/** Kinds of messages that the membership asks its caller to send. */
export enum MembershipActionKind {
  Probe = 'probe',
  IndirectProbe = 'probeThrough',
  Join = 'join',
}

/** Direct probe of the target. The caller reports the answer or the failure. */
export interface ProbeAction {
  readonly kind: MembershipActionKind.Probe;
  readonly target: DaemonIdentity;
  readonly updates: MemberUpdate[];
  readonly deadlineAtMs: number;
}

/**
 * Indirect probe: the helpers are asked to probe the target. The caller reports
 * it when none reached it.
 */
export interface IndirectProbeAction {
  readonly kind: MembershipActionKind.IndirectProbe;
  readonly target: DaemonIdentity;
  readonly helpers: readonly DaemonIdentity[];
  readonly deadlineAtMs: number;
}

/** Request for the members that the target knows. */
export interface JoinAction {
  readonly kind: MembershipActionKind.Join;
  readonly target: DaemonIdentity;
  readonly deadlineAtMs: number;
}

export type MembershipAction = ProbeAction | IndirectProbeAction | JoinAction;
