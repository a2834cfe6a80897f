/**
 * Which prompt prefixes an engine probably has in its cache.
 *
 * @module
 */

const MOST_PREFIXES = 2_048;

/** A bounded guess at one engine's prefix cache, oldest use forgotten first. */
export interface PrefixMemory {
    /** Notes that the engine has the prefix or will have it soon. */
    add(prefixKey: string): void;
    remove(prefixKey: string): void;
    clear(): void;
    /** Counts how many of the ever longer prefixes are cached, up to the longest. */
    matchLength(prefixKeys: readonly string[]): number;
}

/**
 * Creates an empty memory.
 *
 * @returns The memory.
 */
export function createPrefixMemory(): PrefixMemory {
    const prefixes = new Set<string>();
    return {
        add: prefixKey => {
            prefixes.delete(prefixKey);
            prefixes.add(prefixKey);
            if (prefixes.size > MOST_PREFIXES) {
                const oldest = prefixes.values().next().value;
                prefixes.delete(oldest ?? prefixKey);
            }
        },
        remove: prefixKey => {
            prefixes.delete(prefixKey);
        },
        clear: () => {
            prefixes.clear();
        },
        matchLength: prefixKeys => prefixKeys.findLastIndex(prefixKey => prefixes.has(prefixKey)) + 1,
    };
}
