import type { Priority } from '../ports/index.js';

/** Whether a call may be dispatched more than once. */
export enum RepeatPolicy {
  Repeatable = 'repeatable',
  /** At most once under the caller's `Idempotency-Key`. */
  ByKey = 'byKey',
  /** Dispatched once, never retried. */
  Never = 'never',
}

/** Limits of one workspace under a rule; an absent limit does not apply. */
export interface RuleLimits {
  readonly inFlight?: number;
  readonly tokensPerMinute?: number;
}

/** One line of the rule file. `undefined` matchers match everything. */
export interface Rule {
  readonly line: number;
  readonly workspace?: string;
  readonly kind?: string;
  /** Endpoint group that the request is sent to. */
  readonly group: string;
  readonly version?: string;
  readonly priority: Priority;
  /** Longest time to the deadline that the rule grants, in milliseconds. */
  readonly deadlineLimitMs: number;
  readonly limits: RuleLimits;
  readonly repeat: RepeatPolicy;
  /** Who asked for the line and why. */
  readonly reason: string;
}

export enum FaultSeverity {
  /** The file cannot be put in force. */
  Error = 'error',
  /** The file can be put in force; the line probably is not what was meant. */
  Warning = 'warning',
}

/** One fault of a rule file. Line and column count from 1. */
export interface RuleFault {
  readonly severity: FaultSeverity;
  readonly line: number;
  readonly column: number;
  readonly text: string;
  readonly message: string;
  readonly remedy: string;
}

export interface ParsedRules {
  readonly rules: readonly Rule[];
  readonly faults: readonly RuleFault[];
}

/** What a rule is matched on. */
export interface RuleSubject {
  readonly workspace: string;
  readonly kind: string;
}
