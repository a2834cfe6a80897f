/**
 * Keys of prompt prefixes, computed as engines compute those in their cache events.
 *
 * @module
 */
import { createHash } from "node:crypto";

const KEY_CHARACTERS = 16;

/** The fields of a chat message that enter the key of a prefix. */
export interface PrefixMessage {
    readonly role: string;
    readonly content: string;
}

/**
 * Returns a key for each prefix of a conversation that ends with a complete message, shortest first.
 *
 * @param model Name of the model, including the adapter where one is used.
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
