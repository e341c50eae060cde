import type { Clock, Random } from '@skylarkreach/core/ports';
import { AnswerLostError, NotSentError } from '@skylarkreach/core/ports';

const LOST_ANSWER_PROBABILITY = 0.02;
const LOST_CALL_PROBABILITY = 0.01;
const MAX_CALLS_BEFORE_PAUSE = 16;

/** Calls that change state; a process is more likely to be paused at them. */
const MUTATING_CALLS: readonly PropertyKey[] = ['order', 'start', 'stop'];
const PAUSE_PROBABILITY = 0.1;
const MAX_PAUSE_MS = 60_000;

/**
 * Injector of faults into the calls of one process: delayed calls, lost calls
 * and answers, and an end of the process, also between its last check and the
 * call that the check allowed.
 */
export class CallFaultInjector {
  private resumeAtMs = 0;
  private callsUntilPause: number | undefined;
  private pauseMs = 0;
  private endsAfterPause = false;
  private isEnded = false;
  /** Number of pauses at a call that changes state. */
  pausesAtMutations = 0;

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /** Whether the process has ended. */
  hasEnded(): boolean {
    return this.isEnded;
  }

  /** Pauses the process at one of its next calls; the call is sent when the pause ends. */
  schedulePause(pauseMs: number): void {
    this.callsUntilPause = this.random.nextInteger(MAX_CALLS_BEFORE_PAUSE);
    this.pauseMs = pauseMs;
  }

  /** Ends the process at one of its next calls; that call is still delivered after `delayMs`. */
  scheduleKill(delayMs: number): void {
    this.schedulePause(delayMs);
    this.endsAfterPause = true;
  }

  /** Returns a proxy of a client whose method calls are subject to the faults. */
  wrap<T extends object>(client: T): T {
    return new Proxy(client, {
      get: (object, name) => {
        const member: unknown = Reflect.get(object, name);
        if (typeof member !== 'function') return member;
        return (...args: unknown[]) =>
          this.call(name, () => Reflect.apply(member, object, args) as unknown);
      },
    });
  }

  private async call(name: PropertyKey, send: () => unknown): Promise<unknown> {
    if (this.hasEnded()) throw new NotSentError('The process has ended.');
    if (MUTATING_CALLS.includes(name)) this.maybePauseAtMutation();
    this.startPauseIfDue();
    await this.waitUntilResumed();
    if (this.random.nextFloat() < LOST_CALL_PROBABILITY)
      throw createAnswerLostError();
    const answer = await send();
    if (this.random.nextFloat() < LOST_ANSWER_PROBABILITY)
      throw createAnswerLostError();
    await this.waitUntilResumed();
    if (this.hasEnded()) throw createAnswerLostError();
    return answer;
  }

  /** Randomly delays the current call, as if the process were paused after its last check. */
  private maybePauseAtMutation(): void {
    if (this.random.nextFloat() >= PAUSE_PROBABILITY) return;
    this.callsUntilPause = 0;
    this.pauseMs = this.random.nextFloat() * MAX_PAUSE_MS;
    this.endsAfterPause ||= this.random.nextFloat() < 0.5;
    this.pausesAtMutations += 1;
  }

  private startPauseIfDue(): void {
    if (this.callsUntilPause === undefined) return;
    this.callsUntilPause -= 1;
    if (this.callsUntilPause > 0) return;
    this.callsUntilPause = undefined;
    this.resumeAtMs = this.clock.nowMs() + this.pauseMs;
    this.isEnded = this.endsAfterPause;
  }

  private async waitUntilResumed(): Promise<void> {
    await this.clock.waitUntil(this.resumeAtMs);
  }
}

function createAnswerLostError(): AnswerLostError {
  return new AnswerLostError(
    'The answer was lost; read the state before a retry.',
  );
}
