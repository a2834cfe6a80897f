/**
 * Parser of JSON from other processes.
 *
 * @module
 */

/** Values that a text may hold; an empty object of three characters takes fifty bytes. */
const MAXIMUM_VALUES = 1_000_000;

/** A shorter text cannot hold more values. */
const MINIMUM_COUNTED_CHARACTERS = MAXIMUM_VALUES;

const QUOTE = "\"".charCodeAt(0);
const BACKSLASH = "\\".charCodeAt(0);

/** Characters before a value, outside of texts. */
const VALUE_BEGINNINGS: ReadonlySet<number> = new Set(["[", "{", ","].map(character => character.charCodeAt(0)));

/** Returns the position behind a text whose first quote is at a position. */
function skipText(text: string, start: number): number {
    let at = start + 1;
    while (at < text.length && text.charCodeAt(at) !== QUOTE) {
        at += text.charCodeAt(at) === BACKSLASH ? 2 : 1;
    }
    return at + 1;
}

function hasTooManyValues(text: string): boolean {
    let values = 0;
    let at = 0;
    while (at < text.length && values <= MAXIMUM_VALUES) {
        const character = text.charCodeAt(at);
        if (character === QUOTE) {
            at = skipText(text, at);
            continue;
        }
        if (VALUE_BEGINNINGS.has(character)) {
            values += 1;
        }
        at += 1;
    }
    return values > MAXIMUM_VALUES;
}

/**
 * Parses JSON. Returns `undefined` for invalid JSON, and for a text with more than a million values, which no schema of
 * this project accepts.
 *
 * @param text The text to parse.
 *
 * @example
 * ```ts
 * const record = parseDocument(engineRecordSchema, parseJson(entry.value));
 * ```
 */
export function parseJson(text: string): unknown {
    if (text.length > MINIMUM_COUNTED_CHARACTERS && hasTooManyValues(text)) {
        return undefined;
    }
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}
