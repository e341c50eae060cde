import { request } from 'undici';
import { z } from 'zod';

import type { Address } from '@skylarkreach/core/platform';

import { OPERATOR_TOKEN } from '../deployment/index.js';
import type { Trace } from './trace.js';
import { TraceKind } from './trace.js';

const CALL_TIMEOUT_MS = 10_000;

const rulesSchema = z.object({ revision: z.number(), text: z.string() });
const resultSchema = z.object({ outcome: z.string() });

/** The rule file as one daemon has it in force. */
export interface RulesInForce {
  readonly revision: number;
  readonly text: string;
}

/** Operators of a scenario, who change rules through a daemon. */
export class ScenarioOperators {
  private edits = 0;

  constructor(private readonly trace: Trace) {}

  async readRules(operators: Address): Promise<RulesInForce> {
    return rulesSchema.parse(await this.call(operators, 'GET'));
  }

  /** Puts a line before the others of a file that was read; returns the outcome. */
  async addRule(
    operators: Address,
    base: RulesInForce,
    line: string,
  ): Promise<string> {
    this.edits += 1;
    const editId = `edit-${this.edits}`;
    const { outcome } = resultSchema.parse(
      await this.call(operators, 'PUT', {
        editId,
        baseRevision: base.revision,
        baseText: base.text,
        text: `${line}\n${base.text}`,
      }),
    );
    this.trace.record(TraceKind.Operator, editId, `${outcome}: ${line}`);
    return outcome;
  }

  private async call(
    operators: Address,
    method: 'GET' | 'PUT',
    body?: unknown,
  ): Promise<unknown> {
    const response = await request(`http://${operators}/v1/rules`, {
      method,
      body: body === undefined ? null : JSON.stringify(body),
      reset: true,
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
      headers: { authorization: `Bearer ${OPERATOR_TOKEN}` },
    });
    return response.body.json();
  }
}
