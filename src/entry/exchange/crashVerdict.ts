/**
 * Whether a request may be sent, given what it has in common with requests that crashed upstreams.
 *
 * @module
 */
import { type Verdict } from "../../crashes/index.js";
import { type RequestParts } from "./requestParts.js";

/** Returns the verdict on a request; an answer that has begun is not held up by a doubt. */
export function crashVerdict({ answer, context, facts }: RequestParts): Verdict {
    const verdict = context.crashes.verdict(facts.attributes, context.readClock());
    return verdict.type === "doubted" && answer.begun ? { type: "accepted" } : verdict;
}

/** Logs why a request is refused that has what crashes upstreams. */
export function logConviction(
    { logger }: RequestParts,
    { ageMilliseconds, attribute, crashes }: Extract<Verdict, { readonly type: "refused"; }>,
): void {
    logger.info("request has what crashes upstreams", {
        attribute,
        crashes,
        convictedAgeMilliseconds: Math.round(ageMilliseconds),
    });
}
