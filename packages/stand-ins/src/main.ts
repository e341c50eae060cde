import { SAMPLE_HOST, SAMPLE_KEY } from '@skylarkreach/platform/stand-ins';

import {
  CALLER_TOKEN,
  LocalDeployment,
  OPERATOR_TOKEN,
} from './deployment/index.js';
import { PlatformDeployment } from './gateway/index.js';

const CURL_TIME_LIMIT_SECONDS = 60;

const deployment = new LocalDeployment();
await deployment.start();
const platform = new PlatformDeployment();
await platform.start();
await platform.addWorker('ledger', 'ledger-1');
await platform.addWorker('engines', 'engine-1');
const gateway = await platform.addGateway('gateway-1');
console.log(describe(deployment));
process.once('SIGINT', stop);
process.once('SIGTERM', stop);

function stop(): void {
  console.log('Stopping; requests in flight end first.');
  void deployment.stop();
  void gateway.gateway.stop().then(() => platform.destroy());
}

function describe(running: LocalDeployment): string {
  const daemons = running.daemons.map(
    ({ addresses, dataCentre, id }) =>
      `  ${id} in ${dataCentre}: callers ${addresses.callers}, operators ${addresses.operators}, peers ${addresses.peers}`,
  );
  const engines = running.engines.map(
    ({ address, dataCentre }) => `  engine in ${dataCentre}: ${address}`,
  );
  return [
    'The local deployment runs:',
    ...daemons,
    ...engines,
    '',
    'Ask for a streamed completion:',
    curlLine(running),
    '',
    'Operate it:',
    `  export SKYLARKREACH_TOKEN=${OPERATOR_TOKEN} SKYLARKREACH_ADDRESS=${running.daemons[0]?.addresses.operators ?? ''}`,
    '  npx skylarkreach status',
    '',
    'Ask the entry for a platform, which forwards bodies unread:',
    gatewayCurlLine(gateway.addresses.callers),
    '',
    'Press Ctrl-C to stop.',
  ].join('\n');
}

function curlLine(running: LocalDeployment): string {
  const address = running.daemons[0]?.addresses.callers ?? '';
  return [
    `curl -N http://${address}/v1/chat/completions`,
    `-H 'authorization: Bearer ${CALLER_TOKEN}'`,
    "-H 'content-type: application/json'",
    `-H "skylarkreach-deadline: $(date -u -d '+${CURL_TIME_LIMIT_SECONDS} seconds' +%Y-%m-%dT%H:%M:%SZ)"`,
    `-d '{"stream":true,"messages":[{"role":"user","content":"Which account takes this entry?"}]}'`,
  ].join(' ');
}

function gatewayCurlLine(address: string): string {
  return [
    `curl -N http://${address}/drafts/1`,
    `-H 'host: ${SAMPLE_HOST}'`,
    `-H 'key: ${SAMPLE_KEY}'`,
    "-H 'request-id: try-1'",
    "-H 'model: m'",
    "-d '{}'",
  ].join(' ');
}
