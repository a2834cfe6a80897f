/**
 * Checks of parsed JSON that the generated readers are made of.
 *
 * A reader accepts a part of what the schema of its definition accepts, and returns what the schema would: a value that
 * it does not accept is left to the schema. Readers need no preparation, which counts where the process is young.
 *
 * @module
 */

/** A key that schemas skip in maps. */
const SKIPPED_KEY = "__proto__";

/** Returns whether a value is an object with named fields. */
export function isFields(value: unknown): value is Readonly<Record<string, unknown>> {
    return typeof value === "object" && value !== null && !Array.isArray(value);
}

export function isString(value: unknown): value is string {
    return typeof value === "string";
}

export function isBoolean(value: unknown): value is boolean {
    return typeof value === "boolean";
}

/** Returns whether a value is a finite number of at least a minimum. */
export function isNumber(value: unknown, minimum: number): value is number {
    return typeof value === "number" && Number.isFinite(value) && value >= minimum;
}

/** Returns whether a value is an integer that a number represents exactly, of at least a minimum. */
export function isInteger(value: unknown, minimum: number): value is number {
    return Number.isSafeInteger(value) && (value as number) >= minimum;
}

/** Returns whether a value is a list of up to a number of items, all of which are accepted. */
export function isList<Item>(
    value: unknown,
    maximumItems: number,
    isItem: (item: unknown) => item is Item,
): value is Item[] {
    return Array.isArray(value) && value.length <= maximumItems && value.every(isItem);
}

/** Returns whether a value is a map by name, all values of which are accepted. */
export function isMap<Value>(
    value: unknown,
    isValue: (value: unknown) => value is Value,
): value is Record<string, Value> {
    if (!isFields(value)) {
        return false;
    }
    for (const name of Object.keys(value)) {
        if (name === SKIPPED_KEY || !isValue(value[name])) {
            return false;
        }
    }
    return true;
}

/** Reads a list of up to a number of objects; `undefined` for another value, or where one is not read. */
export function readList<Item>(
    value: unknown,
    maximumItems: number,
    readItem: (item: unknown) => Item | undefined,
): Item[] | undefined {
    if (!Array.isArray(value) || value.length > maximumItems) {
        return undefined;
    }
    const items: Item[] = [];
    for (const each of value) {
        const item = readItem(each);
        if (item === undefined) {
            return undefined;
        }
        items.push(item);
    }
    return items;
}
