/**
 * Keys of prompt prefixes, as engines name them in their cache events.
 *
 * @module
 */
import { createHash } from "node:crypto";

const KEY_CHARACTERS = 16;

/** The part of a chat message that a prefix depends on. */
export interface PrefixMessage {
    readonly role: string;
    readonly content: string;
}

/**
 * Gives a key for each prefix of a conversation that ends with a whole message, shortest first.
 *
 * @param model The model, with its adapter where there is one.
 * @param messages The conversation.
 *
 * @example
 * ```ts
 * const keys = createPrefixKeys("bag-quotes", [{ role: "user", content: "A quote for 500 bags" }]);
 * ```
 */
export function createPrefixKeys(model: string, messages: readonly PrefixMessage[]): string[] {
    const hash = createHash("sha256").update(model);
    return messages.map(({ role, content }) => {
        hash.update(`\u0000${role}\u0000${content}`);
        return hash.copy().digest("hex").slice(0, KEY_CHARACTERS);
    });
}
