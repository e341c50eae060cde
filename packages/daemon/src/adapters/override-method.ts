import type { Socket } from 'node:net';

/** Methods of sockets that connections to other processes change. */
type OverridableMethod = 'destroy' | 'push' | 'read' | 'unshift';

/**
 * Replaces a method of one socket. `override` gets the method as it was and
 * returns the one to use instead; later overrides wrap earlier ones.
 */
export function overrideMethod<Method extends OverridableMethod>(
  socket: Socket,
  method: Method,
  override: (original: Socket[Method]) => Socket[Method],
): void {
  const original = socket[method].bind(socket) as Socket[Method];
  socket[method] = override(original);
}
