/**
 * Qualified names of adapters; an adapter's name alone is unique only within its model.
 *
 * @module
 */

const SEPARATOR = "/";

/**
 * Returns an adapter's name qualified by its model.
 *
 * @example
 * ```ts
 * nameAdapter("quotes", "a3"); // "quotes/a3"
 * ```
 */
export function nameAdapter(model: string, adapter: string): string {
    return `${model}${SEPARATOR}${adapter}`;
}

/**
 * Splits a name made by `nameAdapter` into the model and the adapter.
 *
 * @example
 * ```ts
 * splitAdapterName("quotes/a3"); // { model: "quotes", adapter: "a3" }
 * ```
 */
export function splitAdapterName(name: string): { readonly model: string; readonly adapter: string; } {
    const end = name.indexOf(SEPARATOR);
    return { model: name.slice(0, end), adapter: name.slice(end + SEPARATOR.length) };
}
