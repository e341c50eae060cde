import { request } from 'undici';
import { z } from 'zod';

import type { Address } from '@skylarkreach/core/ports';

import { OPERATOR_TOKEN } from '../deployment/index.js';
import type { Trace } from './trace.js';
import { TraceKind } from './trace.js';

const CALL_TIMEOUT_MS = 10_000;
const RULES_PATH = '/v1/rules';

const rulesSchema = z.object({ revision: z.number(), text: z.string() });
const movesSchema = z.object({ moves: z.array(z.unknown()) });
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
    return rulesSchema.parse(await this.call(operators, 'GET', RULES_PATH));
  }

  /** Puts a line before the others of a file that was read; returns the outcome. */
  async addRule(
    operators: Address,
    base: RulesInForce,
    line: string,
  ): Promise<string> {
    this.edits += 1;
    const editId = `edit-${this.edits}`;
    const edit = {
      editId,
      baseRevision: base.revision,
      baseText: base.text,
      text: `${line}\n${base.text}`,
    };
    const body = JSON.stringify(edit);
    const answer = await this.call(operators, 'PUT', RULES_PATH, body);
    const { outcome } = resultSchema.parse(answer);
    this.trace.record(TraceKind.Operator, editId, `${outcome}: ${line}`);
    return outcome;
  }

  /** Starts a version move from its line; returns the outcome. */
  async startMove(operators: Address, line: string): Promise<string> {
    const answer = await this.call(operators, 'POST', '/v1/moves', line);
    const { outcome } = resultSchema.parse(answer);
    this.trace.record(TraceKind.Operator, 'move', `${outcome}: ${line}`);
    return outcome;
  }

  /** Number of moves that a daemon knows. */
  async countMoves(operators: Address): Promise<number> {
    const answer = await this.call(operators, 'GET', '/v1/moves');
    return movesSchema.parse(answer).moves.length;
  }

  private async call(
    operators: Address,
    method: 'GET' | 'PUT' | 'POST',
    path: string,
    body?: string,
  ): Promise<unknown> {
    const response = await request(`http://${operators}${path}`, {
      method,
      body: body ?? null,
      reset: true,
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
      headers: { authorization: `Bearer ${OPERATOR_TOKEN}` },
    });
    return response.body.json();
  }
}
