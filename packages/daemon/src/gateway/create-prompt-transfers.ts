import type { ForwardGroup } from '@skylarkreach/core/forwarding';
import { PromptTransfers } from '@skylarkreach/core/prompt-transfers';

import type { GatewaySettings } from '../settings/index.js';

/** Creates what names the sources of prompts, as options of the endpoint pool; empty if the settings do not enable it. */
export function createPromptTransfers(
  { routing }: GatewaySettings,
  groupOf: (name: string) => ForwardGroup | undefined,
): { readonly promptTransfers?: PromptTransfers } {
  if (!routing.transfersPrompts) return {};
  const promptTransfers = new PromptTransfers({
    prefillTokensPerMs: routing.prefillTokensPerMs,
    transferOf: group => groupOf(group)?.engine?.transfer,
  });
  return { promptTransfers };
}
