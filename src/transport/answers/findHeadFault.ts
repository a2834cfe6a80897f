/**
 * Checks the heads of answers.
 *
 * @module
 */
import { type AnswerFault } from "./answerFault.js";
import { type FramingHead, isBodyReadable } from "./answerFraming.js";

const FIRST_FINAL_STATUS = 200;
const LAST_FINAL_STATUS = 599;

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
    if (!(head.status >= FIRST_FINAL_STATUS && head.status <= LAST_FINAL_STATUS)) {
        return "status";
    }
    return isBodyReadable(head) ? undefined : "transfer-coding";
}
