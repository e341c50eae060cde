import sade from 'sade';

import { LogComponent } from '@skylarkreach/core/ports';

import { Daemon } from './daemon.js';
import type { ProcessSignals } from './early-signals/index.js';
import { Gateway } from './gateway/index.js';
import { nextPoll } from './http/index.js';
import type { ManagedDaemon } from './lifecycle/index.js';
import { DaemonLifecycle, UncaughtExceptions } from './lifecycle/index.js';
import type {
  AnySettings,
  GatewaySettings,
  Settings,
} from './settings/index.js';
import {
  parseAnySettings,
  readSettingsFile,
  SettingsError,
  SettingsWatcher,
} from './settings/index.js';

const EXIT_INVALID_SETTINGS = 2;

/** Time that a daemon that is no gateway may take to stop after an unexpected error. */
const DRAIN_TIMEOUT_MS = 30_000;
const MS_PER_SECOND = 1_000;

interface DaemonArguments {
  readonly settings?: string;
}

interface GatewayInputs {
  readonly file: string;
  /** Text of the file that the settings were read from. */
  readonly text: string;
  readonly signals: ProcessSignals;
}

interface SettingsWithText {
  readonly settings: AnySettings;
  readonly text: string;
}

/** Runs one daemon as the arguments of the process say, until a signal stops it. */
export function runProgram(signals: ProcessSignals): void {
  const exceptions = new UncaughtExceptions(process);
  sade('skylarkreachd', true)
    .describe('Runs one daemon until it receives SIGINT or SIGTERM.')
    .option('--settings', 'YAML file with the settings of this daemon')
    .example('--settings /etc/skylarkreach/daemon.yaml')
    .action((options: DaemonArguments) =>
      runDaemon(options.settings, signals, exceptions),
    )
    .parse(process.argv);
}

async function runDaemon(
  file: string | undefined,
  signals: ProcessSignals,
  exceptions: UncaughtExceptions,
): Promise<void> {
  if (file === undefined) {
    console.error('The settings file is missing; add --settings FILE.');
    process.exitCode = EXIT_INVALID_SETTINGS;
    return;
  }
  // Signals that came while the program was loaded are delivered by a poll.
  await nextPoll();
  if (signals.stop.hasCome) return;
  const read = readSettings(file);
  if (read === undefined) return;
  const { settings, text } = read;
  const daemon =
    'gateway' in settings
      ? createGateway(settings.gateway, { file, text, signals })
      : createDaemon(settings.daemon, signals);
  await new DaemonLifecycle(daemon, process).run(signals, exceptions);
}

/** Creates a gateway that applies changes of its settings file; SIGHUP triggers an immediate check. */
function createGateway(
  settings: GatewaySettings,
  { file, signals, text }: GatewayInputs,
): ManagedDaemon {
  const gateway = new Gateway(settings);
  const { log, metrics, settings: current } = gateway.wiring;
  const watcher = new SettingsWatcher(file, text, {
    onChange: changedSettings => {
      gateway.applySettings(changedSettings);
    },
    onError: message => {
      gateway.reportSettingsError(message);
    },
  });
  signals.reload.onSignal(() => {
    watcher.check();
  });
  return {
    log,
    metrics,
    drainTimeoutMs: () => current.bounds.gracePeriodSeconds * MS_PER_SECOND,
    start: () => gateway.start(),
    stop: () => gateway.stop(),
  };
}

function createDaemon(
  settings: Settings,
  signals: ProcessSignals,
): ManagedDaemon {
  const daemon = new Daemon(settings);
  const { log, metrics } = daemon.wiring.pipelineDeps;
  signals.reload.onSignal(() => {
    log.info(
      LogComponent.Daemon,
      'The settings are read only at the start; restart to apply a change.',
    );
  });
  return {
    log,
    metrics,
    drainTimeoutMs: () => DRAIN_TIMEOUT_MS,
    start: () => daemon.start(),
    stop: () => daemon.stop(),
  };
}

/** Loads the settings; prints the errors and sets the exit code where they are invalid. */
function readSettings(file: string): SettingsWithText | undefined {
  try {
    const text = readSettingsFile(file);
    return { settings: parseAnySettings(file, text), text };
  } catch (error) {
    if (!(error instanceof SettingsError)) throw error;
    console.error(error.message);
    process.exitCode = EXIT_INVALID_SETTINGS;
    return undefined;
  }
}
