/**
 * Checks the heads of answers.
 *
 * @module
 */
import { type AnswerFault } from "./answerFault.js";
import { type FramingHead, isBodyReadable } from "./answerFraming.js";

/**
 * Returns what is wrong with the head of an answer, whatever it answers; `undefined` for a sound one.
 *
 * @param head The head of a final answer.
 *
 * @example
 * ```ts
 * findHeadFault({ status: 200, headers: { "transfer-encoding": "gzip" } }); // "transfer-coding"
 * ```
 */
export function findHeadFault(head: FramingHead): AnswerFault | undefined {
    return isBodyReadable(head) ? undefined : "transfer-coding";
}
