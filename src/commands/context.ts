/**
 * Resources of the process that commands use.
 *
 * @module
 */
import { type BaseContext } from "clipanion";
import { type IdentifierSource } from "../decision/index.js";
import { type Settings } from "../generated/settings.js";
import { type KeyValueService } from "../platform/index.js";

/** A host started by `run`. */
export interface RunningHost {
    /** Begins the graceful shutdown. */
    drain(): Promise<void>;
    /** Resolves once the host has closed. */
    readonly closed: Promise<void>;
}

/** Resources that the program passes to its commands. */
export interface CommandContext extends BaseContext {
    readonly startHost: (settings: Settings) => Promise<RunningHost>;
    readonly createKeyValue: (urls: readonly string[]) => KeyValueService;
    readonly createIdentifier: IdentifierSource;
    readonly readTimeOfDay: () => number;
    readonly wait: (milliseconds: number) => Promise<void>;
    /** Operator recorded with a change where the command line names none. */
    readonly operator: string;
    /** Registers a callback for the first signal that requests termination of the process. */
    readonly onTerminate: (callback: () => void) => void;
}
