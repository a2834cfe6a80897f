/**
 * Writes traces of the decisions that the settings list to the log of the host.
 *
 * Each line has a field `trace`. The first line of a decision has its options, each other one a message and its time.
 * `scripts/recordTraces.ts` converts such lines into files that `replayTrace` reads.
 *
 * @module
 */
import { createSeededRandom, type Decision, type IdentifierSource, type RandomSource } from "../decision/index.js";
import { type Log } from "../generated/settings.js";
import { type Logger } from "../observability/index.js";
import { recordDecision } from "../trace/index.js";
import { createIdentifier } from "./clock.js";

/** Name of a decision whose trace can be written. */
export type TracedDecision = Log["trace"][number];

/** Sources of random numbers and identifiers that a replay can reproduce. */
export interface ReplayableSources {
    readonly random: RandomSource;
    readonly createIdentifier: IdentifierSource;
    /** Seed of `random`; written with the trace's options, so that a replay creates an equal source. */
    readonly seed: number;
    readonly identifierPrefix: string;
}

/** Records decisions to the log. */
export interface TraceLog {
    /** Creates the random source and the identifier source of one decision. */
    createSources(): ReplayableSources;
    /** Returns a decision that writes its trace, or the given one where the settings do not list its name. */
    wrap<Message, Effect>(
        name: TracedDecision,
        options: Readonly<Record<string, unknown>>,
        decision: Decision<Message, Effect>,
    ): Decision<Message, Effect>;
}

/**
 * Creates a source of numbered identifiers, which are the same for an equal prefix.
 *
 * @param prefix Prefix that is unique to this process and decision.
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
 * @param logger Receives the lines.
 * @param traced Names of the decisions whose traces are written.
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
