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

/** Rule file that one daemon has in force. */
export interface RulesInForce {
  readonly revision: number;
  readonly text: string;
}

/** Simulated operators of a scenario, who change rules and start moves through a daemon. */
export class ScenarioOperators {
  private editCount = 0;

  constructor(private readonly trace: Trace) {}

  async readRules(operatorAddress: Address): Promise<RulesInForce> {
    return rulesSchema.parse(
      await this.call(operatorAddress, 'GET', RULES_PATH),
    );
  }

  /** Submits the file read before with a line prepended; returns the outcome that the daemon reports. */
  async addRule(
    operatorAddress: Address,
    base: RulesInForce,
    line: string,
  ): Promise<string> {
    this.editCount += 1;
    const editId = `edit-${this.editCount}`;
    const edit = {
      editId,
      baseRevision: base.revision,
      baseText: base.text,
      text: `${line}\n${base.text}`,
    };
    const body = JSON.stringify(edit);
    const result = await this.call(operatorAddress, 'PUT', RULES_PATH, body);
    const { outcome } = resultSchema.parse(result);
    this.trace.record(TraceKind.Operator, editId, `${outcome}: ${line}`);
    return outcome;
  }

  /** Starts the version move that the line describes; returns the outcome that the daemon reports. */
  async startMove(operatorAddress: Address, line: string): Promise<string> {
    const result = await this.call(operatorAddress, 'POST', '/v1/moves', line);
    const { outcome } = resultSchema.parse(result);
    this.trace.record(TraceKind.Operator, 'move', `${outcome}: ${line}`);
    return outcome;
  }

  /** Returns the number of version moves that a daemon lists. */
  async countMoves(operatorAddress: Address): Promise<number> {
    const result = await this.call(operatorAddress, 'GET', '/v1/moves');
    return movesSchema.parse(result).moves.length;
  }

  private async call(
    operatorAddress: Address,
    method: 'GET' | 'PUT' | 'POST',
    path: string,
    body?: string,
  ): Promise<unknown> {
    const response = await request(`http://${operatorAddress}${path}`, {
      method,
      body: body ?? null,
      reset: true,
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
      headers: { authorization: `Bearer ${OPERATOR_TOKEN}` },
    });
    return response.body.json();
  }
}
