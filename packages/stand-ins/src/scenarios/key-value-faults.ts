import { Fault } from '@skylarkreach/core/fakes';

/** Operation whose outcome is unknown to the caller where its response is lost. */
const WRITE_OPERATION = 'put';

/** Chooses the fault of each call to the key-value service during a scenario. */
export class KeyValueFaults {
  /** Fault of every call until it is reset to `Fault.None`. */
  persistentFault: Fault = Fault.None;
  private writeLossListeners: (() => void)[] = [];

  /** Returns the fault of the next call; a standing fault takes precedence over a lost response. */
  nextFault(operation: string): Fault {
    if (this.persistentFault !== Fault.None) return this.persistentFault;
    if (operation !== WRITE_OPERATION) return Fault.None;
    const listener = this.writeLossListeners.shift();
    if (listener === undefined) return Fault.None;
    listener();
    return Fault.AnswerLost;
  }

  /** Drops the response to the next write; resolves when that write is made. */
  loseNextWriteResponse(): Promise<void> {
    return new Promise(resolve => {
      this.writeLossListeners.push(resolve);
    });
  }

  /** Resets the standing fault and cancels the losses that no write has met yet. */
  clear(): void {
    this.persistentFault = Fault.None;
    this.writeLossListeners = [];
  }
}
