/**
 * Checks answers that undici has received.
 *
 * @module
 */
import { type Readable } from "node:stream";
import { type AnswerFault } from "./answerFault.js";
import { type FramingHead } from "./answerFraming.js";
import { findHeadFault } from "./findHeadFault.js";

/** Head of an answer as undici returns it. */
export interface ResponseHead {
    readonly statusCode: number;
    readonly headers: FramingHead["headers"];
}

/**
 * Returns what is wrong with the head of an answer, and gives up its body; `undefined` for a sound one.
 *
 * @param response An answer whose body was not read yet.
 *
 * @example
 * ```ts
 * const fault = refuseBrokenResponse(await agent.request({ origin, path: "/", method: "GET" }));
 * ```
 */
export function refuseBrokenResponse(
    { body, headers, statusCode: status }: ResponseHead & { readonly body: Readable; },
): AnswerFault | undefined {
    const rawHeaders = Object.entries(headers).flatMap(([name, values = []]) =>
        [values].flat().flatMap(value => [name, value])
    );
    const fault = findHeadFault({ status, headers, rawHeaders });
    if (fault !== undefined) {
        // The only error is that the body was given up.
        body.on("error", () => undefined).destroy();
    }
    return fault;
}
