/**
 * Names of adapters, which are unique together with their model only.
 *
 * @module
 */

const SEPARATOR = "/";

/**
 * Names an adapter together with its model.
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
 * Splits what `nameAdapter` has joined.
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
