/**
 * Exit codes of the command line; `docs/COMMANDS.md` lists them.
 *
 * @module
 */

/** Exit codes by meaning. */
export const EXIT_CODES = {
    ok: 0,
    failed: 1,
    usage: 2,
    invalidText: 3,
    conflict: 4,
    platformUnreachable: 5,
} as const;

/** One of {@linkcode EXIT_CODES}. */
export type ExitCode = typeof EXIT_CODES[keyof typeof EXIT_CODES];
