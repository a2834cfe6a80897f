/**
 * The tokens of engine stand-ins: a function of the request alone, so that any reader can check an answer.
 *
 * @module
 */
import { hashText } from "../src/decision/index.js";

const HEXADECIMAL = 16;

/** The part of a completion request that its tokens depend on. */
export interface TokenRequest {
    readonly model: string;
    readonly messages: readonly { readonly role: string; readonly content: string; }[];
    readonly max_tokens?: number | undefined;
}

/** Tokens of an answer whose request names no number. */
export const DEFAULT_ANSWER_TOKENS = 16;

/**
 * Gives all tokens of the answer to a request.
 *
 * @param request Model, messages and number of tokens.
 *
 * @example
 * ```ts
 * const whole = expectedTokens({ model: "quotes", messages: [{ role: "user", content: "hello" }] }).join("");
 * ```
 */
export function expectedTokens(request: TokenRequest): string[] {
    const seed = `${request.model}\u0000${JSON.stringify(request.messages)}`;
    const count = request.max_tokens ?? DEFAULT_ANSWER_TOKENS;
    return Array.from({ length: count }, (_, index) => `${hashText(`${seed}\u0000${index}`).toString(HEXADECIMAL)} `);
}
