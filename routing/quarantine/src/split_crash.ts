import type {EvidenceItem} from './evidence_item.js';

/** Most parts in one item, so that it fits into a datagram. */
const MAX_PARTS_PER_ITEM = 36;

/** Splits a crash with many parts into items that merge to it again; returns others as they are. */
export function splitCrash(item: EvidenceItem): EvidenceItem[] {
  if (item.kind !== 'crash' || item.parts.length <= MAX_PARTS_PER_ITEM) {
    return [item];
  }
  const items: EvidenceItem[] = [];
  for (let i = 0; i < item.parts.length; i += MAX_PARTS_PER_ITEM) {
    items.push({...item, parts: item.parts.slice(i, i + MAX_PARTS_PER_ITEM)});
  }
  return items;
}
