import type { Address, PeerClient, PeerMethod } from '@skylarkreach/core/ports';

/** Size of the request line and headers that the daemon's HTTP client sends. */
const REQUEST_OVERHEAD_BYTES = 230;
/** Size of the status line and headers that the daemon's peer server sends. */
const RESPONSE_OVERHEAD_BYTES = 90;

/** Bytes of HTTP that each daemon has sent and received. */
export class TrafficCounter {
  private readonly bytesByAddress = new Map<Address, number>();

  add(address: Address, bytes: number): void {
    this.bytesByAddress.set(address, this.bytesOf(address) + bytes);
  }

  bytesOf(address: Address): number {
    return this.bytesByAddress.get(address) ?? 0;
  }

  reset(): void {
    this.bytesByAddress.clear();
  }
}

/** Peer client that counts the bytes of its calls as JSON-RPC over HTTP, for both sender and receiver. */
export class CountingPeer implements PeerClient {
  constructor(
    private readonly inner: PeerClient,
    private readonly from: Address,
    private readonly traffic: TrafficCounter,
  ) {}

  async call<Params, Result>(
    address: Address,
    method: PeerMethod<Params, Result>,
    params: Params,
    deadlineAtMs: number,
  ): Promise<Result> {
    const request = { jsonrpc: '2.0', id: 1_000, method: method.name, params };
    this.addBytes(address, request, REQUEST_OVERHEAD_BYTES);
    const result = await this.inner.call(address, method, params, deadlineAtMs);
    const response = { jsonrpc: '2.0', id: 1_000, result };
    this.addBytes(address, response, RESPONSE_OVERHEAD_BYTES);
    return result;
  }

  private addBytes(
    address: Address,
    message: unknown,
    overheadBytes: number,
  ): void {
    const bytes = Buffer.byteLength(JSON.stringify(message)) + overheadBytes;
    this.traffic.add(this.from, bytes);
    this.traffic.add(address, bytes);
  }
}
