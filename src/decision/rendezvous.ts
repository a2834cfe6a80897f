/**
 * Rendezvous hashing: hosts that know the same members agree on who takes a duty without a message.
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
 * Orders members by their weight for a key, highest first; a member that leaves moves only its own keys.
 *
 * @param key What has to be taken care of.
 * @param members Names of the candidates; the order given does not matter.
 *
 * @example
 * ```ts
 * const [poller, standIn] = rankByRendezvous("bag-llm-3", ["host-1", "host-2", "host-3"]);
 * ```
 */
export function rankByRendezvous(key: string, members: readonly string[]): string[] {
    const weighed = members.map(member => ({ member, weight: hashText(`${key}\u0000${member}`) }));
    weighed.sort((left, right) => right.weight - left.weight || (left.member < right.member ? -1 : 1));
    return weighed.map(({ member }) => member);
}
