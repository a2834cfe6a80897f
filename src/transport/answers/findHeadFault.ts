/**
 * Checks the heads of answers.
 *
 * @module
 */
import { type AnswerFault } from "./answerFault.js";
import { type FramingHead, isBodyReadable } from "./answerFraming.js";

/** Characters of a field's name, as RFC 9110 has them. */
const FIELD_NAME = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;

/** Visible and blank characters, and bytes beyond ASCII. */
const FIELD_VALUE = /^[\t\x20-\x7e\x80-\xff]*$/;

const FIRST_FINAL_STATUS = 200;
const LAST_FINAL_STATUS = 599;

/** Head of an answer, with its fields as they were received. */
export interface ReceivedHead extends FramingHead {
    /** Alternating names and values, as received. */
    readonly rawHeaders: readonly string[];
}

/** Returns whether an element of alternating names and values has only characters that it may have. */
function isSoundPart(part: string, index: number): boolean {
    return (index % 2 === 0 ? FIELD_NAME : FIELD_VALUE).test(part);
}

/**
 * Returns what is wrong with the head of an answer, whatever it answers; `undefined` for a sound one.
 *
 * @param head The head of a final answer.
 *
 * @example
 * ```ts
 * findHeadFault({ status: 99, headers: {}, rawHeaders: [] }); // "status"
 * ```
 */
export function findHeadFault(head: ReceivedHead): AnswerFault | undefined {
    if (!(head.status >= FIRST_FINAL_STATUS && head.status <= LAST_FINAL_STATUS)) {
        return "status";
    }
    if (!head.rawHeaders.every(isSoundPart)) {
        return "field";
    }
    return isBodyReadable(head) ? undefined : "transfer-coding";
}
