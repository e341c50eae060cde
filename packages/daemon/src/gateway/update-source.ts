/** Origin of an update, as logged. */
export enum UpdateSource {
  Store = 'store',
  Peer = 'peer',
}
