/**
 * What commands need of the program that runs them.
 *
 * @module
 */
import { type BaseContext } from "clipanion";
import { type IdentifierSource } from "../decision/index.js";
import { type Settings } from "../generated/settings.js";
import { type KeyValueService } from "../platform/index.js";

/** A host that `run` started. */
export interface RunningHost {
    /** Begins the graceful shutdown. */
    drain(): Promise<void>;
    /** Resolves once the host has closed. */
    readonly closed: Promise<void>;
}

/** What the program passes to its commands. */
export interface CommandContext extends BaseContext {
    readonly startHost: (settings: Settings) => Promise<RunningHost>;
    readonly createKeyValue: (urls: readonly string[]) => KeyValueService;
    readonly createIdentifier: IdentifierSource;
    readonly readTimeOfDay: () => number;
    readonly wait: (milliseconds: number) => Promise<void>;
    /** Name of whoever runs a command, where it names none. */
    readonly operator: string;
    /** Calls back at the process's first request to end. */
    readonly onTerminate: (callback: () => void) => void;
}
