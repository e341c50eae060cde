import { SAMPLE_HOST, SAMPLE_KEY } from '@skylarkreach/platform/stand-ins';

import {
  CALLER_TOKEN,
  LocalDeployment,
  OPERATOR_TOKEN,
} from './deployment/index.js';
import { GatewayDeployment } from './gateway/index.js';

const CURL_TIME_LIMIT_SECONDS = 60;

const deployment = new LocalDeployment();
await deployment.start();
const platform = new GatewayDeployment();
await platform.start();
await platform.addEndpoint('ledger', 'ledger-1');
await platform.addEndpoint('engines', 'engine-1');
const gateway = await platform.addGateway('gateway-1');
console.log(describeDeployment(deployment));
process.once('SIGINT', stop);
process.once('SIGTERM', stop);

function stop(): void {
  console.log('Stopping after the requests in flight have finished.');
  void deployment.stop();
  void gateway.gateway.stop().then(() => platform.destroy());
}

function describeDeployment(localDeployment: LocalDeployment): string {
  const daemons = localDeployment.daemons.map(
    ({ addresses, dataCentre, id }) =>
      `  ${id} in ${dataCentre}: callers ${addresses.callers}, operators ${addresses.operators}, peers ${addresses.peers}`,
  );
  const engines = localDeployment.engines.map(
    ({ address, dataCentre }) => `  engine in ${dataCentre}: ${address}`,
  );
  return [
    'The local deployment is running:',
    ...daemons,
    ...engines,
    '',
    'Request a streamed completion:',
    streamCurlCommand(localDeployment),
    '',
    'Run operator commands:',
    `  export SKYLARKREACH_TOKEN=${OPERATOR_TOKEN} SKYLARKREACH_ADDRESS=${localDeployment.daemons[0]?.addresses.operators ?? ''}`,
    '  npx skylarkreach status',
    '',
    'Send a request through the gateway, which forwards bodies without parsing them:',
    gatewayCurlCommand(gateway.addresses.callers),
    '',
    'Press Ctrl-C to stop.',
  ].join('\n');
}

function streamCurlCommand(localDeployment: LocalDeployment): string {
  const address = localDeployment.daemons[0]?.addresses.callers ?? '';
  return [
    `curl -N http://${address}/v1/chat/completions`,
    `-H 'authorization: Bearer ${CALLER_TOKEN}'`,
    "-H 'content-type: application/json'",
    `-H "skylarkreach-deadline: $(date -u -d '+${CURL_TIME_LIMIT_SECONDS} seconds' +%Y-%m-%dT%H:%M:%SZ)"`,
    `-d '{"stream":true,"messages":[{"role":"user","content":"Which account takes this entry?"}]}'`,
  ].join(' ');
}

function gatewayCurlCommand(address: string): string {
  return [
    `curl -N http://${address}/drafts/1`,
    `-H 'host: ${SAMPLE_HOST}'`,
    `-H 'key: ${SAMPLE_KEY}'`,
    "-H 'request-id: try-1'",
    "-H 'model: m'",
    "-d '{}'",
  ].join(' ');
}
