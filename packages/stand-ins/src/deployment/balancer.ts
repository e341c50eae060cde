import type { Socket } from 'node:net';
import { connect, createServer } from 'node:net';

import type { Address } from '@skylarkreach/core/ports';

/** A caller's connection and the one to a daemon that it is joined to. */
interface Link {
  readonly caller: Socket;
  readonly daemon: Socket;
  isSilent: boolean;
}

/** Stand-in of the platform's balancer: gives each new connection to a daemon in turn. */
export class Balancer {
  private readonly server = createServer(caller => {
    this.join(caller);
  });
  private readonly links = new Set<Link>();
  private nextTarget = 0;

  /** `targets` are the daemons that take new requests. */
  constructor(private readonly targets: () => readonly Address[]) {}

  /** Binds a free port; returns the URL that callers use. */
  async listen(): Promise<string> {
    await new Promise<void>(resolve => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    const bound = this.server.address();
    if (bound === null || typeof bound === 'string') {
      throw new Error('The balancer has no port; free one and start it again.');
    }
    return `http://127.0.0.1:${bound.port}`;
  }

  /** Makes every open connection silent for good; returns how many there are. */
  silence(): number {
    const joined = [...this.links].filter(link => !link.isSilent);
    for (const link of joined) {
      link.isSilent = true;
      link.caller.unpipe(link.daemon).pause();
      link.daemon.unpipe(link.caller).pause();
    }
    return joined.length;
  }

  destroy(): void {
    this.server.close();
    for (const { caller, daemon } of this.links) {
      caller.destroy();
      daemon.destroy();
    }
  }

  private join(caller: Socket): void {
    const targets = this.targets();
    const target = targets[this.nextTarget % Math.max(1, targets.length)];
    this.nextTarget += 1;
    if (target === undefined) {
      caller.destroy();
      return;
    }
    const [host, port] = target.split(':');
    const daemon = connect(Number(port), host);
    const link: Link = { caller, daemon, isSilent: false };
    this.links.add(link);
    caller.pipe(daemon);
    daemon.pipe(caller);
    this.endTogether(link, caller, daemon);
    this.endTogether(link, daemon, caller);
  }

  /** Ends the other connection with this one, unless the link has gone silent. */
  private endTogether(link: Link, ending: Socket, other: Socket): void {
    ending.on('error', () => ending.destroy());
    ending.on('close', () => {
      if (link.isSilent) return;
      this.links.delete(link);
      other.destroy();
    });
  }
}
