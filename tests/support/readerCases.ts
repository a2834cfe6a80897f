/**
 * Values that a reader of parsed JSON is tried with, made from an example.
 *
 * @module
 */

/** What may stand in any place of a message that another process wrote, beside what belongs there. */
export const FOREIGN_VALUES: readonly unknown[] = [
    null,
    true,
    0,
    -1,
    1.5,
    2 ** 60,
    "",
    "rest",
    [],
    [null],
    [""],
    {},
    { name: null },
    { name: 1 },
    Array.from({ length: 5_000 }, () => ""),
];

/** Names that lead to a part of a value. */
export type Path = readonly string[];

/** Returns the paths of all parts of a value. */
export function pathsOf(value: unknown, path: Path = []): Path[] {
    const parts = typeof value === "object" && value !== null ? Object.entries(value) : [];
    return [path, ...parts.flatMap(([name, part]) => pathsOf(part, [...path, name]))];
}

/** Returns a copy of a value after a change of the object or list that contains a path's last name. */
export function changed(value: unknown, path: Path, change: (parent: object, name: string) => void): unknown {
    const copy = structuredClone({ whole: value });
    const full = ["whole", ...path];
    const parent = full.slice(0, -1).reduce((part: object, name) => Reflect.get(part, name) as object, copy);
    change(parent, full.at(-1) ?? "");
    return JSON.parse(JSON.stringify(copy.whole)) as unknown;
}
