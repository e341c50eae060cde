import type { AnswerEvent } from '@skylarkreach/core/pipeline';
import {
  RequestError,
  RequestErrorKind,
  RequestOutcome,
} from '@skylarkreach/core/pipeline';
import type { Clock } from '@skylarkreach/core/ports';
import { EngineEventKind } from '@skylarkreach/core/ports';
import type { ResumePoint } from '@skylarkreach/core/streams';
import { ResumeTokenSigner } from '@skylarkreach/core/streams';

import type { SimulatedDaemon } from './simulated-daemon.js';
import type { TracedRequest } from './trace.js';

const RECONNECT_DELAY_MS = 50;
const RESUME_TOKENS = new ResumeTokenSigner([
  { id: 'key', secret: 'secret-of-a-trace' },
]);

/** Result of one request. */
export interface CallerResult {
  readonly text: string;
  readonly isFinished: boolean;
  /** Whether the request was refused before acceptance, without running anything. */
  readonly isRefused: boolean;
  readonly reconnects: number;
}

/** Caller that reconnects to another daemon whenever its daemon ends the stream. */
export class SimulatedCaller {
  private text = '';
  private isFinished = false;
  private isRefused = false;
  private resumeToken: string | undefined;
  private mustResend = true;
  private reconnects = 0;
  private error: unknown;

  constructor(
    private readonly traced: TracedRequest,
    private readonly clock: Clock,
    private readonly chooseDaemon: () => SimulatedDaemon | undefined,
  ) {}

  /** Sends the request and reads its answer until it ends or fails permanently. */
  async run(): Promise<CallerResult> {
    await this.clock.waitUntil(this.traced.arrivesAtMs);
    while (!this.isFinished && this.error === undefined) {
      await this.streamOnce();
    }
    const { isFinished, isRefused, reconnects, text } = this;
    return { isFinished, isRefused, reconnects, text };
  }

  private async streamOnce(): Promise<void> {
    const daemon = this.chooseDaemon();
    if (daemon === undefined) {
      this.error = new Error('No daemon is running.');
      return;
    }
    try {
      for await (const event of this.openStream(daemon)) this.applyEvent(event);
    } catch (error) {
      this.handleStreamError(error, daemon);
      this.reconnects += 1;
      await this.clock.waitUntil(this.clock.nowMs() + RECONNECT_DELAY_MS);
    }
  }

  private openStream(daemon: SimulatedDaemon) {
    const { call } = this.traced;
    const { signal } = daemon.shutdown;
    const point = this.resumePoint();
    if (!this.mustResend && point !== undefined) {
      return daemon.pipeline.resume(point, signal);
    }
    const received =
      point === undefined ? undefined : { text: this.text, point };
    return daemon.pipeline.run({ ...call, receivedAnswer: received }, signal);
  }

  private resumePoint(): ResumePoint | undefined {
    if (this.resumeToken === undefined) return undefined;
    const { call, workspace } = this.traced;
    const claim = { requestId: call.requestId, workspace };
    return RESUME_TOKENS.verify(this.resumeToken, claim, this.clock.nowMs());
  }

  private applyEvent(answerEvent: AnswerEvent): void {
    const { call, workspace } = this.traced;
    if (answerEvent.event.kind === EngineEventKind.Chunk)
      this.text += answerEvent.event.text;
    else this.isFinished = true;
    this.resumeToken = RESUME_TOKENS.sign({
      requestId: call.requestId,
      workspace,
      address: answerEvent.address,
      streamId: answerEvent.streamId,
      tokenOffset: answerEvent.tokenOffset,
      characters: answerEvent.characters,
      expiresAtMs: answerEvent.deadlineAtMs,
    });
  }

  private handleStreamError(error: unknown, daemon: SimulatedDaemon): void {
    if (daemon.shutdown.signal.aborted) {
      this.mustResend = this.resumeToken === undefined;
      return;
    }
    const isLost =
      error instanceof RequestError &&
      error.kind === RequestErrorKind.StreamLost;
    if (isLost) {
      this.mustResend = true;
      return;
    }
    this.error = error;
    this.isRefused =
      error instanceof RequestError && error.outcome === RequestOutcome.NotRun;
  }
}
