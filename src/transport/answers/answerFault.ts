/**
 * What is wrong with an answer that is not taken for one.
 *
 * @module
 */

/** Why an answer is broken, as logs and counters name it. */
export type AnswerFault =
    /** Only the end of the connection would have completed it, and the connection was reset. */
    | "reset-at-end"
    /** Its status is none of a final answer: 101, or outside 200 to 599. */
    | "status"
    /** The name or the value of a field has characters that none has, such as a blank in a name. */
    | "field"
    /** Its body is in a transfer coding other than chunks. */
    | "transfer-coding"
    /** Its body is larger than any sound one of its kind. */
    | "too-large";
