import { z } from 'zod';

/**
 * Schema of a list in a message between daemons. Items that do not match `item`,
 * as another build may send, are left out, and those beyond `maxItems` are cut
 * off, so that the rest of the message is still used.
 */
export function readableItems<Item>(
  item: z.ZodType<Item>,
  maxItems = Infinity,
): z.ZodType<Item[]> {
  return z.array(z.unknown()).transform(items => {
    const kept = items.slice(0, maxItems);
    return kept.flatMap(each => {
      const parsed = item.safeParse(each);
      return parsed.success ? [parsed.data] : [];
    });
  });
}
