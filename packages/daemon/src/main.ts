#!/usr/bin/env node
import sade from 'sade';

import { Daemon } from './daemon.js';
import { Gateway } from './gateway/index.js';
import type { AnySettings, GatewaySettings } from './settings/index.js';
import {
  loadAnySettings,
  SettingsError,
  SettingsFollower,
} from './settings/index.js';

const EXIT_BAD_SETTINGS = 2;

/** Time that connections have to close after a stop. */
const EXIT_WITHIN_MS = 200; // with the gateway's last call, well inside the grace period

interface DaemonArguments {
  readonly settings?: string;
}

/** What runs until it is stopped. */
interface Stoppable {
  start(): Promise<unknown>;
  stop(): Promise<void>;
}

sade('skylarkreachd', true)
  .describe('Runs one daemon until it receives SIGINT or SIGTERM.')
  .option('--settings', 'YAML file with the settings of this daemon')
  .example('--settings /etc/skylarkreach/daemon.yaml')
  .action((options: DaemonArguments) => runDaemon(options.settings))
  .parse(process.argv);

async function runDaemon(file: string | undefined): Promise<void> {
  if (file === undefined) {
    console.error('No settings file was named; add --settings FILE.');
    process.exitCode = EXIT_BAD_SETTINGS;
    return;
  }
  const settings = readSettings(file);
  if (settings === undefined) return;
  const daemon: Stoppable =
    'gateway' in settings
      ? createGateway(file, settings.gateway)
      : new Daemon(settings.own);
  await daemon.start();
  const stop = () => {
    void daemon.stop().then(() => {
      // A connection that is slow to close must not outlast the grace period.
      setTimeout(() => process.exit(), EXIT_WITHIN_MS).unref();
    });
  };
  process.once('SIGINT', stop);
  process.once('SIGTERM', stop);
}

/** A gateway that takes up changes of its settings file, at a SIGHUP at once. */
function createGateway(file: string, settings: GatewaySettings): Gateway {
  const gateway = new Gateway(settings);
  const follower = new SettingsFollower(file, {
    onChange: next => {
      gateway.applySettings(next);
    },
    onFault: message => {
      gateway.reportSettingsError(message);
    },
  });
  process.on('SIGHUP', () => {
    follower.check();
  });
  return gateway;
}

function readSettings(file: string): AnySettings | undefined {
  try {
    return loadAnySettings(file);
  } catch (error) {
    if (!(error instanceof SettingsError)) throw error;
    console.error(error.message);
    process.exitCode = EXIT_BAD_SETTINGS;
    return undefined;
  }
}
