/**
 * Names of attributes.
 *
 * @module
 */
import { type RequestAttributes } from "./types.js";

const PART_PREFIX = "part:";
const REQUEST_PREFIX = "request:";

/** Parts of a request beyond this number are not looked at. */
const MAXIMUM_PARTS = 256;

/** Parts of a request that may be suspected at once; a report to peers names as many. */
export const MAXIMUM_SUSPECTED_PARTS = 16;

/** Longer names are cut, since they come from callers. */
const MAXIMUM_NAME_LENGTH = 64;

/** Returns the attribute's name of a part. */
export function namePart(part: string): string {
    return PART_PREFIX + part.slice(0, MAXIMUM_NAME_LENGTH);
}

/** Returns the attribute's name of a request that is sent again. */
export function nameRequest(fingerprint: string): string {
    return REQUEST_PREFIX + fingerprint;
}

/** Returns whether an attribute is a part of a prompt. */
export function isPart(attribute: string): boolean {
    return attribute.startsWith(PART_PREFIX);
}

/** Returns the part that an attribute names. */
export function partOf(attribute: string): string {
    return attribute.slice(PART_PREFIX.length);
}

/** Returns the names of a request's parts, each once. */
export function namesOfParts(parts: readonly string[]): string[] {
    return [...new Set(parts)].slice(0, MAXIMUM_PARTS).map(namePart);
}

/** Returns the names of all attributes of a request. */
export function namesOf({ fingerprint, parts }: RequestAttributes): string[] {
    return [...namesOfParts(parts), nameRequest(fingerprint)];
}
