/**
 * Rendezvous hashing: hosts that know the same members choose the same one for a duty without exchanging messages.
 *
 * @module
 */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * Hashes a text to an unsigned 32-bit integer (FNV-1a with a final mix).
 *
 * @example
 * ```ts
 * const shard = hashText("order-17") % 64;
 * ```
 */
export function hashText(text: string): number {
    let hash = FNV_OFFSET;
    for (let index = 0; index < text.length; index += 1) {
        hash ^= text.charCodeAt(index);
        hash = Math.imul(hash, FNV_PRIME);
    }
    hash ^= hash >>> 16;
    hash = Math.imul(hash, 0x85ebca6b);
    hash ^= hash >>> 13;
    return hash >>> 0;
}

/**
 * Ranks members by their weight for a key, highest first; removing a member reassigns only the keys that it had.
 *
 * @param key The duty or resource to assign.
 * @param members Names of the candidates, in any order.
 *
 * @example
 * ```ts
 * const [poller, backup] = rankByRendezvous("bag-llm-3", ["host-1", "host-2", "host-3"]);
 * ```
 */
export function rankByRendezvous(key: string, members: readonly string[]): string[] {
    const weightedMembers = members.map(member => ({ member, weight: hashText(`${key}\u0000${member}`) }));
    weightedMembers.sort((left, right) => right.weight - left.weight || (left.member < right.member ? -1 : 1));
    return weightedMembers.map(({ member }) => member);
}
