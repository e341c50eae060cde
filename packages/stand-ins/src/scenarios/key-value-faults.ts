import { Fault } from '@skylarkreach/core/fakes';

/** Operation that a lost answer leaves in doubt. */
const WRITE_OPERATION = 'put';

/** Chooses the faults of the key-value service while a scenario runs. */
export class KeyValueFaults {
  /** Fault of every call until it is set back to `Fault.None`. */
  standing: Fault = Fault.None;
  private lossListeners: (() => void)[] = [];

  /** The fault of the next call. */
  next(operation: string): Fault {
    if (this.standing !== Fault.None) return this.standing;
    if (operation !== WRITE_OPERATION) return Fault.None;
    const listener = this.lossListeners.shift();
    if (listener === undefined) return Fault.None;
    listener();
    return Fault.AnswerLost;
  }

  /** Loses the answer of the next write; resolves once that write was made. */
  loseNextWriteAnswer(): Promise<void> {
    return new Promise(resolve => {
      this.lossListeners.push(resolve);
    });
  }

  /** Takes back the losses that no write has met yet. */
  clear(): void {
    this.standing = Fault.None;
    this.lossListeners = [];
  }
}
