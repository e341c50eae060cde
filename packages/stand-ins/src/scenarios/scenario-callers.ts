import { CallerClient, Outcome, ProblemError } from '@skylarkreach/client';
import type { Clock } from '@skylarkreach/core/ports';

import { CALLER_TOKEN } from '../deployment/index.js';
import { answerTokens } from '../engine/index.js';
import type { AnswerRecord, PostingRecord } from './run-history.js';
import { PostingOutcome } from './run-history.js';
import { sendSinglePosting } from './single-posting.js';
import type { Trace } from './trace.js';
import { TraceKind } from './trace.js';

const ANSWER_TIMEOUT_MS = 20_000;
const POSTING_TIMEOUT_MS = 8_000;
const SILENCE_TIMEOUT_MS = 3_000;

/** Streamed completion of one caller, in progress or ended. */
export interface RunningAnswer {
  readonly requestId: string;
  /** URL of the daemon that the caller tries first. */
  readonly firstUrl: string;
  /** Text received so far. */
  text: string;
  /** Resolves once the caller has received the answer or has failed. */
  readonly ended: Promise<AnswerRecord>;
}

/** Posting of one caller, in progress or ended. */
export interface RunningPosting {
  readonly key: string;
  readonly ended: Promise<PostingRecord>;
}

/** Simulated callers of a scenario, which send requests through the client library. */
export class ScenarioCallers {
  readonly answers: RunningAnswer[] = [];
  readonly postings: RunningPosting[] = [];
  private readonly clients: CallerClient[] = [];
  private openRequestCount = 0;

  constructor(
    private readonly clock: Clock,
    private readonly trace: Trace,
    /** Returns the URLs of the running daemons, or of the balancer. */
    private readonly urls: () => readonly string[],
  ) {}

  /** Starts a streamed completion with a prompt of its own, so that mixed-up answers are found. */
  startCompletion(): RunningAnswer {
    const index = this.answers.length;
    const requestId = `request-${index + 1}`;
    const addresses = this.rotatedUrls(index);
    const content = `Which account takes entry ${index + 1}?`;
    const messages = [{ role: 'user', content }];
    const answer: RunningAnswer = {
      requestId,
      firstUrl: addresses[0] ?? '',
      text: '',
      ended: this.trackOpenRequest(
        Promise.resolve().then(() =>
          this.receiveAnswer(answer, addresses, messages),
        ),
      ),
    };
    this.answers.push(answer);
    this.trace.record(
      TraceKind.Caller,
      requestId,
      `requests a completion from ${answer.firstUrl}`,
    );
    return answer;
  }

  /** Sends a posting; the client retries it until it has an outcome. */
  sendPosting(): RunningPosting {
    const key = this.nextKey();
    const addresses = this.rotatedUrls(this.postings.length);
    return this.addPosting(key, this.sendPostingWithRetries(key, addresses));
  }

  /** Sends a posting to one daemon, without retries. */
  sendPostingOnce(): RunningPosting {
    const key = this.nextKey();
    const [url = ''] = this.rotatedUrls(this.postings.length);
    const deadlineAtMs = this.clock.nowMs() + POSTING_TIMEOUT_MS;
    return this.addPosting(key, sendSinglePosting({ url, key, deadlineAtMs }));
  }

  /** Number of requests without an outcome. */
  get pendingRequestCount(): number {
    return this.openRequestCount;
  }

  /** Resolves once every request has an outcome. */
  async waitForAll(): Promise<void> {
    await Promise.all(this.answers.map(each => each.ended));
    await Promise.all(this.postings.map(each => each.ended));
  }

  async close(): Promise<void> {
    await Promise.all(this.clients.map(client => client.close()));
  }

  private async trackOpenRequest<T>(request: Promise<T>): Promise<T> {
    this.openRequestCount += 1;
    try {
      return await request;
    } finally {
      this.openRequestCount -= 1;
    }
  }

  private nextKey(): string {
    return `posting-${this.postings.length + 1}`;
  }

  private addPosting(
    key: string,
    sent: Promise<PostingRecord>,
  ): RunningPosting {
    this.trace.record(TraceKind.Caller, key, 'posts');
    const ended = this.trackOpenRequest(sent).then(record => {
      this.trace.record(
        TraceKind.Caller,
        key,
        `receives outcome ${record.outcome}`,
      );
      return record;
    });
    const posting = { key, ended };
    this.postings.push(posting);
    return posting;
  }

  private async receiveAnswer(
    answer: RunningAnswer,
    addresses: readonly string[],
    messages: readonly { role: string; content: string }[],
  ): Promise<AnswerRecord> {
    const { requestId } = answer;
    const deadlineAtMs = this.clock.nowMs() + ANSWER_TIMEOUT_MS;
    const client = this.createClient(addresses);
    const chat = { messages, deadlineAtMs, requestId };
    const failure = await captureFailure(async () => {
      for await (const text of client.stream(chat)) answer.text += text;
    });
    const result = failure ?? 'the answer stream ended';
    this.trace.record(TraceKind.Caller, requestId, result);
    const expectedText = answerTokens(messages).join('');
    return { requestId, expectedText, text: answer.text, failure };
  }

  private async sendPostingWithRetries(
    key: string,
    addresses: readonly string[],
  ): Promise<PostingRecord> {
    const client = this.createClient(addresses);
    try {
      const { body } = await client.call({
        service: 'ledger',
        path: '/postings',
        method: 'POST',
        kind: 'posting',
        idempotencyKey: key,
        body: JSON.stringify({ key }),
        deadlineAtMs: this.clock.nowMs() + POSTING_TIMEOUT_MS,
      });
      return { key, outcome: PostingOutcome.Ran, responseBody: body };
    } catch (error) {
      this.trace.record(TraceKind.Caller, key, String(error));
      return { key, outcome: outcomeOf(error), responseBody: undefined };
    }
  }

  private createClient(addresses: readonly string[]): CallerClient {
    const client = new CallerClient({
      addresses,
      token: CALLER_TOKEN,
      silenceTimeoutMs: SILENCE_TIMEOUT_MS,
    });
    this.clients.push(client);
    return client;
  }

  /** Returns the URLs rotated by `index`, so that callers start with different daemons. */
  private rotatedUrls(index: number): readonly string[] {
    const urls = this.urls();
    const first = index % Math.max(1, urls.length);
    return [...urls.slice(first), ...urls.slice(0, first)];
  }
}

async function captureFailure(
  work: () => Promise<void>,
): Promise<string | undefined> {
  try {
    await work();
    return undefined;
  } catch (error) {
    return String(error);
  }
}

function outcomeOf(error: unknown): PostingOutcome {
  const isNotRun =
    error instanceof ProblemError && error.problem.outcome === Outcome.NotRun;
  return isNotRun ? PostingOutcome.NotRun : PostingOutcome.Unknown;
}
