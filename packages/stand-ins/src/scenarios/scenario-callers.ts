import { CallerClient, Outcome, ProblemError } from '@skylarkreach/client';
import type { Clock } from '@skylarkreach/core/ports';

import { CALLER_TOKEN } from '../deployment/index.js';
import { answerTokens } from '../engine/index.js';
import type { AnswerEvidence, PostingEvidence } from './evidence.js';
import { PostingOutcome } from './evidence.js';
import { sendPostingOnce } from './single-posting.js';
import type { Trace } from './trace.js';
import { TraceKind } from './trace.js';

const ANSWER_TIMEOUT_MS = 20_000;
const POSTING_TIMEOUT_MS = 8_000;
const SILENCE_TIMEOUT_MS = 3_000;

/** A completion that a caller waits for, or has. */
export interface RunningAnswer {
  readonly requestId: string;
  /** URL of the daemon that the caller asks first. */
  readonly firstUrl: string;
  text: string;
  /** Resolves once the caller has the answer or has given up. */
  readonly ended: Promise<AnswerEvidence>;
}

/** A posting that a caller waits for, or has the outcome of. */
export interface RunningPosting {
  readonly key: string;
  readonly ended: Promise<PostingEvidence>;
}

/** Callers of a scenario, who send through the callers' library. */
export class ScenarioCallers {
  readonly answers: RunningAnswer[] = [];
  readonly postings: RunningPosting[] = [];
  private readonly clients: CallerClient[] = [];
  private openRequests = 0;

  constructor(
    private readonly clock: Clock,
    private readonly trace: Trace,
    /** URLs of the daemons that run, or of the balancer. */
    private readonly urls: () => readonly string[],
  ) {}

  /** Streams the answer to a question that no other caller asks. */
  ask(): RunningAnswer {
    const index = this.answers.length;
    const requestId = `request-${index + 1}`;
    const addresses = this.urlsFrom(index);
    const content = `Which account takes entry ${index + 1}?`;
    const messages = [{ role: 'user', content }];
    const answer: RunningAnswer = {
      requestId,
      firstUrl: addresses[0] ?? '',
      text: '',
      ended: this.count(
        Promise.resolve().then(() =>
          this.followAnswer(answer, addresses, messages),
        ),
      ),
    };
    this.answers.push(answer);
    this.trace.record(TraceKind.Caller, requestId, `asks ${answer.firstUrl}`);
    return answer;
  }

  /** Sends a posting until it has an outcome. */
  post(): RunningPosting {
    const key = this.nextKey();
    const addresses = this.urlsFrom(this.postings.length);
    return this.track(key, this.followPosting(key, addresses));
  }

  /** Sends a posting to one daemon, and never again. */
  postOnce(): RunningPosting {
    const key = this.nextKey();
    const [url = ''] = this.urlsFrom(this.postings.length);
    const deadlineAtMs = this.clock.nowMs() + POSTING_TIMEOUT_MS;
    return this.track(key, sendPostingOnce({ url, key, deadlineAtMs }));
  }

  /** Requests that have no outcome yet. */
  get waiting(): number {
    return this.openRequests;
  }

  /** Resolves once every caller has an outcome. */
  async ended(): Promise<void> {
    await Promise.all(this.answers.map(each => each.ended));
    await Promise.all(this.postings.map(each => each.ended));
  }

  async close(): Promise<void> {
    await Promise.all(this.clients.map(client => client.close()));
  }

  private async count<T>(request: Promise<T>): Promise<T> {
    this.openRequests += 1;
    try {
      return await request;
    } finally {
      this.openRequests -= 1;
    }
  }

  private nextKey(): string {
    return `posting-${this.postings.length + 1}`;
  }

  private track(key: string, sent: Promise<PostingEvidence>): RunningPosting {
    this.trace.record(TraceKind.Caller, key, 'posts');
    const ended = this.count(sent).then(evidence => {
      this.trace.record(TraceKind.Caller, key, `is told ${evidence.outcome}`);
      return evidence;
    });
    const posting = { key, ended };
    this.postings.push(posting);
    return posting;
  }

  private async followAnswer(
    answer: RunningAnswer,
    addresses: readonly string[],
    messages: readonly { role: string; content: string }[],
  ): Promise<AnswerEvidence> {
    const { requestId } = answer;
    const deadlineAtMs = this.clock.nowMs() + ANSWER_TIMEOUT_MS;
    const client = this.createClient(addresses);
    const chat = { messages, deadlineAtMs, requestId };
    const failure = await failureOf(async () => {
      for await (const text of client.stream(chat)) answer.text += text;
    });
    const end = failure ?? 'has its answer';
    this.trace.record(TraceKind.Caller, requestId, end);
    const expectedText = answerTokens(messages).join('');
    return { requestId, expectedText, text: answer.text, failure };
  }

  private async followPosting(
    key: string,
    addresses: readonly string[],
  ): Promise<PostingEvidence> {
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

  /** The daemons' URLs, so that callers begin at different ones. */
  private urlsFrom(index: number): readonly string[] {
    const urls = this.urls();
    const first = index % Math.max(1, urls.length);
    return [...urls.slice(first), ...urls.slice(0, first)];
  }
}

async function failureOf(
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
