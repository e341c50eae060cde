import type { Log, Metrics } from '@skylarkreach/core/ports';
import { LogComponent } from '@skylarkreach/core/ports';

import type { ProcessSignals } from '../early-signals/index.js';
import type { RejectionSource } from '../telemetry/index.js';
import { errorText, surviveUnhandledRejections } from '../telemetry/index.js';
import type { UncaughtExceptions } from './uncaught-exceptions.js';
import { EXIT_FAILURE } from './uncaught-exceptions.js';

/** Time that open connections have to close after the daemon has stopped. */
const CONNECTION_CLOSE_TIMEOUT_MS = 200; // shorter than CUTOFF_MARGIN_MS of stop-schedule.ts, so the process exits within the grace period

/** Daemon that a process runs. */
export interface ManagedDaemon {
  readonly log: Log;
  readonly metrics: Metrics;
  /** Longest time that a stop may take which the platform has not asked for. */
  readonly drainTimeoutMs: () => number;
  start(): Promise<unknown>;
  /** Stops gracefully. */
  stop(): Promise<void>;
}

export interface LifecycleProcess extends RejectionSource {
  exitCode?: number | string | null | undefined;
  exit(): unknown;
}

/** Runs a daemon until a signal or an uncaught exception stops it, and then ends the process. */
export class DaemonLifecycle {
  private stopped: Promise<void> | undefined;
  private hasFailed = false;

  constructor(
    private readonly daemon: ManagedDaemon,
    private readonly process: LifecycleProcess,
  ) {}

  async run(
    signals: ProcessSignals,
    exceptions: UncaughtExceptions,
  ): Promise<void> {
    const { daemon, process } = this;
    surviveUnhandledRejections(process, daemon.log, daemon.metrics);
    try {
      await daemon.start();
    } catch (error) {
      this.logError('The daemon cannot start.', error);
      process.exitCode = EXIT_FAILURE;
      process.exit();
      return;
    }
    exceptions.handleBy(error => {
      this.handleException(error);
    });
    signals.stop.onSignal(() => {
      this.stop();
    });
  }

  /** Stops as if a signal had come: what throws may have left behind half a change of any state. */
  private handleException(error: Error): void {
    this.daemon.metrics.increment('daemon.uncaughtExceptions');
    this.logError('An unexpected error makes the daemon stop.', error);
    if (this.hasFailed) return;
    this.hasFailed = true;
    this.process.exitCode = EXIT_FAILURE;
    // No platform ends the process after its grace period, as none has asked it to stop.
    this.exitAfter(this.daemon.drainTimeoutMs());
    this.stop();
  }

  /** Further signals and exceptions leave a stop in progress alone. */
  private stop(): void {
    this.stopped ??= this.daemon
      .stop()
      .catch((error: unknown) => {
        this.logError('The stop of the daemon has failed.', error);
        this.process.exitCode = EXIT_FAILURE;
      })
      .then(() => {
        // A connection that closes slowly must not keep the process alive beyond the grace period.
        this.exitAfter(CONNECTION_CLOSE_TIMEOUT_MS);
      });
  }

  private exitAfter(delayMs: number): void {
    setTimeout(() => this.process.exit(), delayMs).unref();
  }

  private logError(message: string, error: unknown): void {
    const fields = { error: errorText(error) };
    this.daemon.log.error(LogComponent.Daemon, message, fields);
  }
}
