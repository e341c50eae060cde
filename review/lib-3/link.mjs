/* global performance, setTimeout */
// Link between one machine and one address, as a proxy that can be cut silently and healed.
//
// It keeps to what TCP does: bytes that were sent into the cut stay with the sender's kernel, which sends them again after
// 0.2 s and then at doubled intervals (RFC 6298, as Linux does), also after an orderly close. A reset drops them, as
// DEPLOY.md says ("Bytes that are held up by a partition are lost if their sender resets the channel"). A channel that is
// opened during the cut never comes about.
import { connect, createServer } from 'node:net';

const FIRST_RESEND_MS = 200;

export class Link {
  isCut = false;
  sockets = new Set();
  healListeners = new Set();

  async listen(host, target) {
    this.target = target;
    this.server = createServer({ allowHalfOpen: true, noDelay: true }, socket =>
      this.accept(socket),
    );
    await new Promise(resolve => this.server.listen(0, host, resolve));
    return `${host}:${this.server.address().port}`;
  }

  cut() {
    this.isCut = true;
  }

  heal() {
    this.isCut = false;
    for (const listener of [...this.healListeners]) listener();
  }

  close() {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  accept(near) {
    this.track(near);
    if (this.isCut) {
      near.on('error', () => undefined).resume();
      return;
    }
    const [host, port] = this.target.split(':');
    const far = connect({
      host,
      port: Number(port),
      allowHalfOpen: true,
      noDelay: true,
    });
    this.track(far);
    this.pipe(near, far);
    this.pipe(far, near);
  }

  track(socket) {
    this.sockets.add(socket);
    socket.on('close', () => this.sockets.delete(socket));
  }

  /** Passes bytes and ends on; holds them while the link is cut. */
  pipe(from, to) {
    const held = [];
    let firstSentAtMs = 0;
    const deliver = () => {
      for (const each of held.splice(0)) each();
    };
    const pass = action => {
      if (!this.isCut && held.length === 0) {
        action();
        return;
      }
      if (held.length === 0) {
        firstSentAtMs = performance.now();
        const onHeal = () => {
          this.healListeners.delete(onHeal);
          let atMs = firstSentAtMs + FIRST_RESEND_MS;
          for (
            let gapMs = FIRST_RESEND_MS * 2;
            atMs < performance.now();
            gapMs *= 2
          )
            atMs += gapMs;
          setTimeout(deliver, atMs - performance.now());
        };
        this.healListeners.add(onHeal);
      }
      held.push(action);
    };
    from.on('data', chunk => pass(() => !to.destroyed && to.write(chunk)));
    from.on('end', () => pass(() => to.end()));
    from.on('error', () => {
      // A reset: what is held up is lost.
      held.splice(0);
      pass(() => to.destroyed || to.resetAndDestroy());
    });
  }
}
