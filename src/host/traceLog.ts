/**
 * Writes the traces of a host's decisions to its log, where settings name them.
 *
 * Each line carries `trace`; the first one of a decision has its options, the others a message and its time.
 * `scripts/recordTraces.ts` turns such lines into files that `replayTrace` takes.
 *
 * @module
 */
import { createSeededRandom, type Decision, type IdentifierSource, type RandomSource } from "../decision/index.js";
import { type Log } from "../generated/settings.js";
import { type Logger } from "../observability/index.js";
import { recordDecision } from "../trace/index.js";
import { createIdentifier } from "./clock.js";

/** A decision whose trace can be written. */
export type TracedDecision = Log["trace"][number];

/** Sources that repeat themselves on a replay. */
export interface RepeatableSources {
    readonly random: RandomSource;
    readonly createIdentifier: IdentifierSource;
    /** Goes into the trace's options; gives the same sources again. */
    readonly seed: number;
    readonly identifierPrefix: string;
}

/** Writes traces. */
export interface TraceLog {
    /** Creates the random source and the identifiers of one decision. */
    createSources(): RepeatableSources;
    /** Returns the decision, recorded where settings name it. */
    wrap<Message, Effect>(
        name: TracedDecision,
        options: Readonly<Record<string, unknown>>,
        decision: Decision<Message, Effect>,
    ): Decision<Message, Effect>;
}

/**
 * Creates identifiers that repeat themselves for an equal prefix.
 *
 * @param prefix Unique to the process that uses them.
 *
 * @example
 * ```ts
 * const createIdentifier = createPrefixedIdentifiers("entry-1-a7");
 * ```
 */
export function createPrefixedIdentifiers(prefix: string): IdentifierSource {
    let created = 0;
    return () => {
        created += 1;
        return `${prefix}-${created}`;
    };
}

/**
 * Creates the trace log of a host.
 *
 * @param logger Takes the lines.
 * @param traced Decisions whose traces are written.
 *
 * @example
 * ```ts
 * const traces = createTraceLog(logger, ["orders"]);
 * const recorded = traces.wrap("orders", { identity }, decision);
 * ```
 */
export function createTraceLog(logger: Logger, traced: readonly TracedDecision[]): TraceLog {
    return {
        createSources() {
            const seed = Math.floor(Math.random() * Number.MAX_SAFE_INTEGER);
            const identifierPrefix = createIdentifier();
            const random = createSeededRandom(seed);
            return { seed, random, identifierPrefix, createIdentifier: createPrefixedIdentifiers(identifierPrefix) };
        },
        wrap(name, options, decision) {
            if (!traced.includes(name)) {
                return decision;
            }
            logger.info("trace", { trace: name, options: JSON.stringify(options) });
            return recordDecision(
                decision,
                entry => logger.info("trace", { trace: name, entry: JSON.stringify(entry) }),
            );
        },
    };
}
