import type { Clock, Random } from '@skylarkreach/core/ports';
import { AnswerLostError, NotSentError } from '@skylarkreach/core/ports';

const LOST_ANSWER_CHANCE = 0.02;
const LOST_CALL_CHANCE = 0.01;
const MAX_CALLS_BEFORE_PAUSE = 16;

/** Calls that change something; a process is paused at them more often. */
const CHANGING_CALLS: readonly PropertyKey[] = ['order', 'start', 'stop'];
const PAUSE_CHANCE = 0.1;
const MAX_PAUSE_MS = 60_000;

/** Holds, loses or ends the calls of one process, at the worst point of its round. */
export class Gate {
  private resumeAtMs = 0;
  private callsUntilPause: number | undefined;
  private pauseMs = 0;
  private endsWithPause = false;
  private ended = false;
  /** Pauses that fell on a call which changes something. */
  pausesAtChange = 0;

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /** Whether the process has ended. */
  hasEnded(): boolean {
    return this.ended;
  }

  /** Pauses the process at one of its next calls, which is sent when it resumes. */
  pauseSoon(pauseMs: number): void {
    this.callsUntilPause = this.random.nextInteger(MAX_CALLS_BEFORE_PAUSE);
    this.pauseMs = pauseMs;
  }

  /** Ends the process at one of its next calls; that call is still delivered, late. */
  killSoon(delayMs: number): void {
    this.pauseSoon(delayMs);
    this.endsWithPause = true;
  }

  /** Wraps every method of an interface to the platform. */
  wrap<T extends object>(target: T): T {
    return new Proxy(target, {
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
    if (CHANGING_CALLS.includes(name)) this.pauseAtChange();
    this.countDown();
    await this.hold();
    if (this.random.nextFloat() < LOST_CALL_CHANCE) throw lost();
    const answer = await send();
    if (this.random.nextFloat() < LOST_ANSWER_CHANCE) throw lost();
    await this.hold();
    if (this.hasEnded()) throw lost();
    return answer;
  }

  /** The call at hand is sent late, as by a process paused after its last check. */
  private pauseAtChange(): void {
    if (this.random.nextFloat() >= PAUSE_CHANCE) return;
    this.callsUntilPause = 0;
    this.pauseMs = this.random.nextFloat() * MAX_PAUSE_MS;
    this.endsWithPause ||= this.random.nextFloat() < 0.5;
    this.pausesAtChange += 1;
  }

  private countDown(): void {
    if (this.callsUntilPause === undefined) return;
    this.callsUntilPause -= 1;
    if (this.callsUntilPause > 0) return;
    this.callsUntilPause = undefined;
    this.resumeAtMs = this.clock.nowMs() + this.pauseMs;
    this.ended = this.endsWithPause;
  }

  private async hold(): Promise<void> {
    await this.clock.waitUntil(this.resumeAtMs);
  }
}

function lost(): AnswerLostError {
  return new AnswerLostError('The answer was lost; read the state back.');
}
