import type { Socket } from 'node:net';
import { connect, createServer } from 'node:net';

import type { Address } from '@skylarkreach/core/ports';

/** A caller's connection and the upstream connection to a daemon that it is piped to. */
interface ProxiedConnection {
  readonly caller: Socket;
  readonly daemon: Socket;
  isStalled: boolean;
}

/** Stand-in for the platform's load balancer: a TCP proxy that assigns new connections round-robin. */
export class LoadBalancer {
  private readonly server = createServer(caller => {
    this.proxyConnection(caller);
  });
  private readonly connections = new Set<ProxiedConnection>();
  private nextTargetIndex = 0;

  /** `targets` returns the addresses of the daemons that accept new requests. */
  constructor(private readonly targets: () => readonly Address[]) {}

  /** Binds a free port and returns the URL for callers. */
  async listen(): Promise<string> {
    await new Promise<void>(resolve => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    const bound = this.server.address();
    if (bound === null || typeof bound === 'string') {
      throw new Error(
        'The balancer could not bind a port; free one and start it again.',
      );
    }
    return `http://127.0.0.1:${bound.port}`;
  }

  /**
   * Stalls every open connection permanently: the sockets stay open but no data is
   * forwarded. Returns the number of connections newly stalled.
   */
  stallConnections(): number {
    const openConnections = [...this.connections].filter(
      connection => !connection.isStalled,
    );
    for (const connection of openConnections) {
      connection.isStalled = true;
      connection.caller.unpipe(connection.daemon).pause();
      connection.daemon.unpipe(connection.caller).pause();
    }
    return openConnections.length;
  }

  /** Stops listening and closes all connections, stalled ones included. */
  destroy(): void {
    this.server.close();
    for (const { caller, daemon } of this.connections) {
      caller.destroy();
      daemon.destroy();
    }
  }

  private proxyConnection(caller: Socket): void {
    const targets = this.targets();
    const target = targets[this.nextTargetIndex % Math.max(1, targets.length)];
    this.nextTargetIndex += 1;
    if (target === undefined) {
      caller.destroy();
      return;
    }
    const [host, port] = target.split(':');
    const daemon = connect(Number(port), host);
    const connection: ProxiedConnection = { caller, daemon, isStalled: false };
    this.connections.add(connection);
    caller.pipe(daemon);
    daemon.pipe(caller);
    this.closeTogether(connection, caller, daemon);
    this.closeTogether(connection, daemon, caller);
  }

  /** Closes `peer` when `socket` closes, unless the connection is stalled. */
  private closeTogether(
    connection: ProxiedConnection,
    socket: Socket,
    peer: Socket,
  ): void {
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      if (connection.isStalled) return;
      this.connections.delete(connection);
      peer.destroy();
    });
  }
}
