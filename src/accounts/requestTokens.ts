/**
 * The cost of a request.
 *
 * @module
 */
import { type Account } from "./types.js";

/** Prompt tokens and maximum output tokens. */
const TOKEN_COUNT_PATTERN = /^\s*(\d{1,12})\s*,\s*(\d{1,12})\s*$/;

/**
 * Returns the tokens that a request costs its account: prompt and maximum output, or what the account's requests without
 * a readable count cost.
 *
 * @param tokenCount The value of the header with the token counts; `undefined` where there is none.
 * @param account The account.
 *
 * @example
 * ```ts
 * requestTokens("1200,300", account); // 1500
 * ```
 */
export function requestTokens(tokenCount: string | undefined, { plainTokens }: Pick<Account, "plainTokens">): number {
    const [, prompt, output] = TOKEN_COUNT_PATTERN.exec(tokenCount ?? "") ?? [];
    return prompt === undefined ? plainTokens : Number(prompt) + Number(output);
}
