import { estimateTokens, promptTextOf } from '../ports/index.js';
import type {
  ModelRequestSpec,
  RequestIdentity,
  RequestRecord,
  ResumePoint,
} from '../streams/index.js';
import { isSameWork } from '../streams/index.js';
import { admitRequest } from './admit-request.js';
import type { AnswerPart } from './answer-run.js';
import { AnswerRun } from './answer-run.js';
import type { AnswerStart, StreamTarget } from './answer-start.js';
import {
  covers,
  startAfterText,
  startFresh,
  startFromPoint,
  startFromRecord,
} from './answer-start.js';
import { cancelStream } from './cancel-stream.js';
import { identifyRequest } from './identify-request.js';
import type { PipelineParts } from './pipeline-parts.js';
import type { IdentifiedRequest, ModelCall } from './request.js';
import {
  RequestError,
  RequestErrorKind,
  RequestOutcome,
} from './request-error.js';
import type { SurvivalParts } from './survival-parts.js';

/** Serves chat completions: identify, admit, route, dispatch, stream, settle. */
export class ModelPipeline {
  constructor(
    private readonly parts: PipelineParts,
    private readonly survival: SurvivalParts,
  ) {}

  /**
   * Yields the answer's parts in order, its finish event last. A request that
   * this daemon has a record of goes on from there. Throws `RequestError`.
   */
  async *run(
    call: ModelCall,
    signal: AbortSignal,
  ): AsyncGenerator<AnswerPart, void, undefined> {
    const { admission, clock, rules, tokens } = this.parts;
    const request = identifyRequest(call, tokens, rules, clock.nowMs());
    const work = workOf(call, request);
    const demand = {
      promptTokens: estimateTokens(promptTextOf(call.messages)),
      maxTokens: call.maxTokens,
    };
    const ticket = await admitRequest(admission, request, demand, signal);
    const run = this.newRun(this.startOf(call, work));
    try {
      yield* run.events(signal);
    } finally {
      ticket.release(run.generatedTokens, clock.nowMs());
    }
  }

  /** Yields what follows the point of a checked resume token. Throws `RequestError`. */
  resume(
    point: ResumePoint,
    signal: AbortSignal,
  ): AsyncGenerator<AnswerPart, void, undefined> {
    const record = this.recordHere(point);
    const start =
      record !== undefined && covers(record, point)
        ? startFromRecord(record, point)
        : startFromPoint(point);
    return this.newRun(start).events(signal);
  }

  /** Yields the whole answer of a request that was sent before. Throws `RequestError`. */
  async *outcome(
    name: RequestIdentity,
    signal: AbortSignal,
  ): AsyncGenerator<AnswerPart, void, undefined> {
    const record =
      this.recordHere(name) ?? (await this.survival.copies.find(name));
    if (record === undefined) throw unknownRequest(name);
    yield* this.newRun(startFromRecord(record)).events(signal);
  }

  /**
   * Stops a request's work, also at the engine that a checked resume token
   * names; false where nothing of it is known here.
   */
  cancel(name: RequestIdentity, point?: ResumePoint): boolean {
    const { live, records } = this.survival;
    const target = point ?? records.find(name, this.parts.clock.nowMs());
    records.remove(name);
    const isLive = live.cancel(name);
    if (!isLive && target !== undefined) this.cancelStream(target);
    return isLive || target !== undefined;
  }

  private cancelStream(target: Partial<StreamTarget>): void {
    const { address, streamId } = target;
    if (address === undefined || streamId === undefined) return;
    cancelStream(this.parts, { address, streamId });
  }

  private newRun(start: AnswerStart): AnswerRun {
    return new AnswerRun(this.parts, this.survival, start);
  }

  private startOf(call: ModelCall, work: ModelRequestSpec): AnswerStart {
    const record = this.recordHere(work);
    const { received } = call;
    const asked = { work, text: '', tokens: 0 };
    if (record !== undefined && isSameWork(record, asked)) {
      if (received === undefined) return startFromRecord(record);
      if (covers(record, received.point)) {
        return startFromRecord(record, received.point);
      }
    }
    return received === undefined
      ? startFresh(work)
      : startAfterText(work, received.text, received.point);
  }

  private recordHere(name: RequestIdentity): RequestRecord | undefined {
    const { live, records } = this.survival;
    return live.find(name) ?? records.find(name, this.parts.clock.nowMs());
  }
}

function workOf(call: ModelCall, request: IdentifiedRequest): ModelRequestSpec {
  return {
    requestId: request.requestId,
    workspace: request.workspace,
    kind: request.kind,
    group: request.rule.group,
    ruleVersion: request.rule.version,
    messages: [...call.messages],
    maxTokens: call.maxTokens,
    priority: request.rule.priority,
    deadlineAtMs: request.deadlineAtMs,
  };
}

function unknownRequest(name: RequestIdentity): RequestError {
  return new RequestError({
    kind: RequestErrorKind.NotFound,
    message: `No daemon asked has a record of request ${name.requestId}.`,
    remedy: 'Send the request again under the same X-Request-Id.',
    outcome: RequestOutcome.Unknown,
  });
}
