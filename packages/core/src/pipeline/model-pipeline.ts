import { estimateTokens, promptTextOf } from '../ports/index.js';
import type {
  ModelRequestSpec,
  RequestIdentity,
  RequestRecord,
  ResumePoint,
} from '../streams/index.js';
import { isSameWork } from '../streams/index.js';
import { admitRequest } from './admit-request.js';
import type { AnswerEvent } from './answer-run.js';
import { AnswerRun } from './answer-run.js';
import type { AnswerStart, StreamTarget } from './answer-start.js';
import {
  recordCovers,
  startAfterText,
  startFromPoint,
  startFromRecord,
  startNew,
} from './answer-start.js';
import { cancelStream } from './cancel-stream.js';
import type { FailoverDependencies } from './failover-dependencies.js';
import { identifyRequest } from './identify-request.js';
import type { PipelineDependencies } from './pipeline-dependencies.js';
import type { IdentifiedRequest, ModelCall } from './request.js';
import {
  RequestError,
  RequestErrorKind,
  RequestOutcome,
} from './request-error.js';

/** Serves chat completions: identify, admit, route, dispatch, stream, settle. */
export class ModelPipeline {
  constructor(
    private readonly deps: PipelineDependencies,
    private readonly failover: FailoverDependencies,
  ) {}

  /**
   * Yields the events of the answer in order, its finish event last. Continues
   * from the local record of the request if there is one. Throws `RequestError`.
   */
  async *run(
    call: ModelCall,
    signal: AbortSignal,
  ): AsyncGenerator<AnswerEvent, void, undefined> {
    const { admission, clock, rules, tokens } = this.deps;
    const request = identifyRequest(call, tokens, rules, clock.nowMs());
    const work = createWork(call, request);
    const demand = {
      promptTokens: estimateTokens(promptTextOf(call.messages)),
      maxTokens: call.maxTokens,
    };
    const ticket = await admitRequest(admission, request, demand, signal);
    const run = this.createRun(this.chooseStart(call, work));
    try {
      yield* run.events(signal);
    } finally {
      ticket.release(run.generatedTokens, clock.nowMs());
    }
  }

  /** Yields the rest of the answer after the point of a verified resume token. Throws `RequestError`. */
  resume(
    point: ResumePoint,
    signal: AbortSignal,
  ): AsyncGenerator<AnswerEvent, void, undefined> {
    const record = this.findLocalRecord(point);
    const start =
      record !== undefined && recordCovers(record, point)
        ? startFromRecord(record, point)
        : startFromPoint(point);
    return this.createRun(start).events(signal);
  }

  /** Yields the whole answer of an earlier request, from its local record or a copy on another daemon. Throws `RequestError`. */
  async *outcome(
    name: RequestIdentity,
    signal: AbortSignal,
  ): AsyncGenerator<AnswerEvent, void, undefined> {
    const record =
      this.findLocalRecord(name) ??
      (await this.failover.peerRecords.find(name));
    if (record === undefined) throw unknownRequestError(name);
    yield* this.createRun(startFromRecord(record)).events(signal);
  }

  /**
   * Cancels a request, including its stream on the engine that a verified resume
   * token names. Returns false if this daemon knows nothing of the request.
   */
  cancel(name: RequestIdentity, point?: ResumePoint): boolean {
    const { liveRuns: live, records } = this.failover;
    const target = point ?? records.find(name, this.deps.clock.nowMs());
    records.remove(name);
    const isLive = live.cancel(name);
    if (!isLive && target !== undefined) this.cancelStream(target);
    return isLive || target !== undefined;
  }

  private cancelStream(target: Partial<StreamTarget>): void {
    const { address, streamId } = target;
    if (address === undefined || streamId === undefined) return;
    cancelStream(this.deps, { address, streamId });
  }

  private createRun(start: AnswerStart): AnswerRun {
    return new AnswerRun(this.deps, this.failover, start);
  }

  private chooseStart(call: ModelCall, work: ModelRequestSpec): AnswerStart {
    const record = this.findLocalRecord(work);
    const { receivedAnswer: received } = call;
    const requested = { work, text: '', tokens: 0 };
    if (record !== undefined && isSameWork(record, requested)) {
      if (received === undefined) return startFromRecord(record);
      if (recordCovers(record, received.point)) {
        return startFromRecord(record, received.point);
      }
    }
    return received === undefined
      ? startNew(work)
      : startAfterText(work, received.text, received.point);
  }

  private findLocalRecord(name: RequestIdentity): RequestRecord | undefined {
    const { liveRuns: live, records } = this.failover;
    return live.find(name) ?? records.find(name, this.deps.clock.nowMs());
  }
}

function createWork(
  call: ModelCall,
  request: IdentifiedRequest,
): ModelRequestSpec {
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

function unknownRequestError(name: RequestIdentity): RequestError {
  return new RequestError({
    kind: RequestErrorKind.NotFound,
    message: `No record of request ${name.requestId} was found on this daemon or the peers asked.`,
    remedy: 'Send the request again under the same X-Request-Id.',
    outcome: RequestOutcome.Unknown,
  });
}
