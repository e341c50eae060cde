// Loaded into a daemon's process before its program: makes its links to the endpoints silent while it is told so.
import { Socket } from 'node:net';

/** Message to the process. */
export interface LinkMessage {
  readonly areLinksCut: boolean;
  /** Ports on the endpoints' host that are never cut. */
  readonly sparedPorts: readonly number[];
}

const ENDPOINT_HOST = '127.0.0.1'; // daemons listen on other hosts
const connectDirectly = Reflect.get(Socket.prototype, 'connect') as (
  ...args: unknown[]
) => Socket;
const sockets = new Map<Socket, number>();
let state: LinkMessage = { areLinksCut: false, sparedPorts: [] };

function connect(this: Socket, ...args: unknown[]): Socket {
  const [first] = args;
  // Node.js passes on arguments that it has normalized.
  const options: unknown = Array.isArray(first) ? first[0] : first;
  const { host, port } = options as { host?: string; port?: unknown };
  if (host !== ENDPOINT_HOST) return connectDirectly.apply(this, args);
  if (isCut(Number(port))) return this;
  sockets.set(this, Number(port));
  this.once('close', () => sockets.delete(this));
  return connectDirectly.apply(this, args);
}

function isCut(port: number): boolean {
  return state.areLinksCut && !state.sparedPorts.includes(port);
}

Reflect.set(Socket.prototype, 'connect', connect);
process.on('message', message => {
  state = message as LinkMessage;
  for (const [socket, port] of sockets) {
    // Drops what is written and hides what is received.
    if (isCut(port))
      Object.assign(socket, { read: () => null, write: () => true });
  }
});
process.on('disconnect', () => {
  process.exit(); // with the process that started it
});
process.channel?.unref();
