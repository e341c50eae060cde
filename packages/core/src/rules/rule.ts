import type { Priority } from '../ports/index.js';

/** Whether a call may be dispatched more than once. */
export enum RepeatPolicy {
  Repeatable = 'repeatable',
  /** Dispatched at most once per `Idempotency-Key` of the caller. */
  ByKey = 'byKey',
  /** Dispatched once, never retried. */
  Never = 'never',
}

/** Limits per workspace under a rule. An absent limit does not apply. */
export interface RuleLimits {
  readonly inFlight?: number;
  readonly tokensPerMinute?: number;
}

/** One line of the rule file. An undefined `workspace` or `kind` matches every value. */
export interface Rule {
  readonly line: number;
  readonly workspace?: string;
  readonly kind?: string;
  /** Endpoint group that the request is sent to. */
  readonly group: string;
  readonly version?: string;
  readonly priority: Priority;
  /** Maximum time to the deadline that the rule allows, in milliseconds. */
  readonly deadlineLimitMs: number;
  readonly limits: RuleLimits;
  readonly repeat: RepeatPolicy;
  /** Requester of the line and the reason, separated by a comma. */
  readonly reason: string;
}

/** Whether a fault prevents the file from being put in force. */
export enum FaultSeverity {
  /** The file cannot be put in force. */
  Error = 'error',
  /** The file can be put in force, but the line probably does not do what was intended. */
  Warning = 'warning',
}

/** Fault in a rule file. Line and column are numbered from 1. */
export interface RuleFault {
  readonly severity: FaultSeverity;
  readonly line: number;
  readonly column: number;
  readonly text: string;
  readonly message: string;
  readonly remedy: string;
}

/** Result of parsing a rule file. */
export interface ParsedRules {
  readonly rules: readonly Rule[];
  readonly faults: readonly RuleFault[];
}

/** Properties of a request that rules are matched against. */
export interface RuleSubject {
  readonly workspace: string;
  readonly kind: string;
}
