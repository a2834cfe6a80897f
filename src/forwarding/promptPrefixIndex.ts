/**
 * Estimates which shared prompt parts are in each engine's prefix cache.
 *
 * @module
 */
import { copyBeginning } from "../memory/index.js";

/** Limits the index of an engine; the part recorded longest ago is dropped first. */
const MAXIMUM_PARTS_PER_ENGINE = 2_048;

/** Longer identifiers are cut, since they come from callers. */
const MAXIMUM_IDENTIFIER_CHARACTERS = 64;

/**
 * Records, for each engine, the shared prompt parts of the requests that it was sent.
 *
 * @example
 * ```ts
 * const prefixes = new PromptPrefixIndex();
 * prefixes.record("engine-3", "91bd3f06");
 * prefixes.has("engine-3", "91bd3f06"); // true
 * ```
 */
export class PromptPrefixIndex {
    readonly #parts = new Map<string, Set<string>>();

    record(engine: string, part: string): void {
        const parts = this.#parts.get(engine) ?? new Set();
        this.#parts.set(engine, parts);
        parts.delete(part);
        parts.add(part);
        if (parts.size > MAXIMUM_PARTS_PER_ENGINE) {
            parts.delete(parts.values().next().value ?? part);
        }
    }

    has(engine: string, part: string): boolean {
        return this.#parts.get(engine)?.has(part) === true;
    }

    forget(engine: string): void {
        this.#parts.delete(engine);
    }
}

/**
 * Returns the parts of a prompt that other requests can share, in order: all but the last. They may be kept for long, so
 * they have memory of their own.
 *
 * @param parts The prompt's parts in order, as `identifier:tokens` pairs separated by commas.
 *
 * @example
 * ```ts
 * sharedParts("5c1e07a2:800,91bd3f06:410,e4402b7d:250"); // ["5c1e07a2", "91bd3f06"]
 * ```
 */
export function sharedParts(parts: string | undefined): string[] {
    const identifiers = (parts ?? "").split(",").map(part => part.split(":")[0]?.trim() ?? "");
    return identifiers.slice(0, -1)
        .filter(identifier => identifier !== "")
        .map(identifier => copyBeginning(identifier, MAXIMUM_IDENTIFIER_CHARACTERS));
}
