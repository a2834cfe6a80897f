/**
 * Tokens of engine stand-ins. They depend on the request alone, so that a test can verify any answer.
 *
 * @module
 */
import { hashText } from "../src/decision/index.js";

const HEXADECIMAL = 16;

/** Fields of a completion request that determine its tokens. */
export interface TokenRequest {
    readonly model: string;
    readonly messages: readonly { readonly role: string; readonly content: string; }[];
    readonly max_tokens?: number | undefined;
}

/** Number of tokens of an answer whose request sets no `max_tokens`. */
export const DEFAULT_ANSWER_TOKENS = 16;

/**
 * Returns all tokens of the answer to a request.
 *
 * @param request Model, messages and number of tokens.
 *
 * @example
 * ```ts
 * const text = expectedTokens({ model: "quotes", messages: [{ role: "user", content: "hello" }] }).join("");
 * ```
 */
export function expectedTokens(request: TokenRequest): string[] {
    const seed = `${request.model}\u0000${JSON.stringify(request.messages)}`;
    const count = request.max_tokens ?? DEFAULT_ANSWER_TOKENS;
    return Array.from({ length: count }, (_, index) => `${hashText(`${seed}\u0000${index}`).toString(HEXADECIMAL)} `);
}
