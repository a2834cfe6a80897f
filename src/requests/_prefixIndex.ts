/**
 * Estimates which prompt prefixes an engine has in its cache.
 *
 * @module
 */

const MAXIMUM_PREFIXES = 2_048;

/** Bounded estimate of one engine's prefix cache, which evicts the least recently used prefix. */
export interface PrefixIndex {
    /** Records that the engine has the prefix in its cache or will have it soon. */
    add(prefixKey: string): void;
    remove(prefixKey: string): void;
    clear(): void;
    /** Returns how many of the prefixes, given by increasing length, the longest cached one covers. */
    matchLength(prefixKeys: readonly string[]): number;
}

/**
 * Creates an empty index.
 *
 * @returns The index.
 */
export function createPrefixIndex(): PrefixIndex {
    const prefixes = new Set<string>();
    return {
        add: prefixKey => {
            prefixes.delete(prefixKey);
            prefixes.add(prefixKey);
            if (prefixes.size > MAXIMUM_PREFIXES) {
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
