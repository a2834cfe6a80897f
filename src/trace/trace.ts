/**
 * Traces of decisions: each message that a decision handled and its time, one JSON object per line.
 *
 * @module
 */
import { Err, Ok, type Result } from "ts-results-es";
import * as z from "zod";
import { type Decision } from "../decision/index.js";

/** Validates a message of a trace. */
const traceEntrySchema = z.object({
    atMilliseconds: z.number(),
    message: z.looseObject({ type: z.string() }),
}).strict();
/** A message of a trace, and the time at which the decision handled it. */
export type TraceEntry = z.infer<typeof traceEntrySchema>;

/** Validates an expected outcome. */
const expectedOutcomeSchema = z.object({
    /** Describes the outcome for readers. */
    says: z.string(),
    /** Members that the effect must have, nested ones included; it may have others. */
    effect: z.record(z.string(), z.unknown()),
    atLeast: z.number().int().nonnegative(),
    atMost: z.number().int().nonnegative(),
}).strict();
/** An effect that a replay must produce at least `atLeast` and at most `atMost` times. */
export type StatedOutcome = z.infer<typeof expectedOutcomeSchema>;

/** Validates the first line of a trace. */
const traceHeaderSchema = z.object({
    decision: z.string(),
    /** Options that the decision was created with, except functions. */
    options: z.record(z.string(), z.unknown()),
    outcomes: z.array(expectedOutcomeSchema),
}).strict();
/** The first line of a trace: the decision, its options and the expected outcomes. */
export type TraceHeader = z.infer<typeof traceHeaderSchema>;

/** The header and messages of a trace. */
export interface Trace {
    readonly header: TraceHeader;
    readonly entries: readonly TraceEntry[];
}

/** An expected outcome that a replay did not meet. */
export interface UnmetOutcome {
    readonly outcome: StatedOutcome;
    /** How many times the replay produced the effect. */
    readonly times: number;
}

/**
 * Wraps a decision so that a callback receives each message before the decision handles it.
 *
 * @param decision The decision.
 * @param onEntry Called with each message and its time.
 *
 * @example
 * ```ts
 * const entries: TraceEntry[] = [];
 * const recorded = recordDecision(decision, entry => entries.push(entry));
 * ```
 */
export function recordDecision<Message, Effect>(
    decision: Decision<Message, Effect>,
    onEntry: (entry: { readonly atMilliseconds: number; readonly message: Message; }) => void,
): Decision<Message, Effect> {
    return {
        handle(message, nowMilliseconds) {
            onEntry({ atMilliseconds: nowMilliseconds, message });
            return decision.handle(message, nowMilliseconds);
        },
    };
}

/**
 * Renders a trace, one JSON object per line.
 *
 * @param trace The trace.
 *
 * @example
 * ```ts
 * await writeFile("owner-dies.jsonl", renderTrace({ header, entries }));
 * ```
 */
export function renderTrace(trace: Trace): string {
    return [trace.header, ...trace.entries].map(line => `${JSON.stringify(line)}\n`).join("");
}

/**
 * Parses a trace.
 *
 * @param text Lines of JSON: the header, then the messages.
 * @returns The trace, or an error text that names the first invalid line and the problem.
 *
 * @example
 * ```ts
 * const trace = parseTrace(await readFile("owner-dies.jsonl", "utf8"));
 * ```
 */
export function parseTrace(text: string): Result<Trace, string> {
    const [firstLine = "", ...otherLines] = text.split("\n").filter(line => line !== "");
    const header = parseLine(traceHeaderSchema, firstLine, 1);
    if (header.isErr()) {
        return header;
    }
    const entries: TraceEntry[] = [];
    for (const [index, line] of otherLines.entries()) {
        const entry = parseLine(traceEntrySchema, line, index + 2);
        if (entry.isErr()) {
            return entry;
        }
        entries.push(entry.value);
    }
    return Ok({ header: header.value, entries });
}

function parseLine<Schema extends z.ZodType>(
    schema: Schema,
    line: string,
    lineNumber: number,
): Result<z.infer<Schema>, string> {
    try {
        const checked = schema.safeParse(JSON.parse(line));
        return checked.success ? Ok(checked.data) : Err(`line ${lineNumber}: ${z.prettifyError(checked.error)}`);
    }
    catch (error) {
        return Err(`line ${lineNumber}: ${String(error)}`);
    }
}

/**
 * Replays a trace on a decision and compares the effects with the expected outcomes.
 *
 * @param trace The trace.
 * @param decision A new decision of the kind and with the options that the header names.
 * @returns The expected outcomes that were not met.
 *
 * @example
 * ```ts
 * const unmet = replayTrace(trace, createRequestsDecision({ host: "entry-1", random: createSeededRandom(1) }));
 * ```
 */
export function replayTrace(
    trace: Trace,
    decision: { handle(message: never, nowMilliseconds: number): readonly unknown[]; },
): UnmetOutcome[] {
    const effects = trace.entries.flatMap(entry => decision.handle(entry.message as never, entry.atMilliseconds));
    const counted = trace.header.outcomes.map(outcome => ({
        outcome,
        times: effects.filter(effect => hasMembers(effect, outcome.effect)).length,
    }));
    return counted.filter(({ outcome, times }) => times < outcome.atLeast || times > outcome.atMost);
}

/** Returns whether a value has all members of a pattern, nested ones included; it may have others. */
function hasMembers(value: unknown, pattern: unknown): boolean {
    if (typeof pattern !== "object" || pattern === null) {
        return Object.is(value, pattern);
    }
    if (typeof value !== "object" || value === null) {
        return false;
    }
    const members = value as Readonly<Record<string, unknown>>;
    return Object.entries(pattern).every(([name, part]) => hasMembers(members[name], part));
}
