/**
 * Traces of decisions: what each was told and when, one JSON object a line.
 *
 * @module
 */
import { Err, Ok, type Result } from "ts-results-es";
import * as z from "zod";
import { type Decision } from "../decision/index.js";

/** Validates: One message of a trace. */
const traceEntrySchema = z.object({
    atMilliseconds: z.number(),
    message: z.looseObject({ type: z.string() }),
}).strict();
/** One message of a trace. */
export type TraceEntry = z.infer<typeof traceEntrySchema>;

/** Validates: An effect that a replay has to show, between so many and so many times. */
const statedOutcomeSchema = z.object({
    says: z.string(),
    /** Members that the effect has at least; nested ones likewise. */
    effect: z.record(z.string(), z.unknown()),
    atLeast: z.number().int().nonnegative(),
    atMost: z.number().int().nonnegative(),
}).strict();
/** An effect that a replay has to show, between so many and so many times. */
export type StatedOutcome = z.infer<typeof statedOutcomeSchema>;

/** Validates: The first line of a trace. */
const traceHeaderSchema = z.object({
    decision: z.string(),
    /** Options that the decision was created with, without its functions. */
    options: z.record(z.string(), z.unknown()),
    outcomes: z.array(statedOutcomeSchema),
}).strict();
/** The first line of a trace. */
export type TraceHeader = z.infer<typeof traceHeaderSchema>;

/** A trace with its stated outcomes. */
export interface Trace {
    readonly header: TraceHeader;
    readonly entries: readonly TraceEntry[];
}

/** A stated outcome that a replay did not show. */
export interface UnmetOutcome {
    readonly outcome: StatedOutcome;
    /** How often the effect was shown. */
    readonly times: number;
}

/**
 * Wraps a decision so that each message is passed to a recorder before it is handled.
 *
 * @param decision The decision.
 * @param onEntry Takes each message with its time.
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
 * Renders a trace, one JSON object a line.
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
 * @returns The trace, or a message that names the line and what is wrong with it.
 *
 * @example
 * ```ts
 * const trace = parseTrace(await readFile("owner-dies.jsonl", "utf8"));
 * ```
 */
export function parseTrace(text: string): Result<Trace, string> {
    const [first = "", ...rest] = text.split("\n").filter(line => line !== "");
    const header = parseLine(traceHeaderSchema, first, 1);
    if (header.isErr()) {
        return header;
    }
    const entries: TraceEntry[] = [];
    for (const [index, line] of rest.entries()) {
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
    number: number,
): Result<z.infer<Schema>, string> {
    try {
        const checked = schema.safeParse(JSON.parse(line));
        return checked.success ? Ok(checked.data) : Err(`line ${number}: ${z.prettifyError(checked.error)}`);
    }
    catch (error) {
        return Err(`line ${number}: ${String(error)}`);
    }
}

/**
 * Replays a trace on a decision and compares the effects with the stated outcomes.
 *
 * @param trace The trace.
 * @param decision A new decision, created as the header says; the trace's messages have to be of its kind.
 * @returns The outcomes that were not met.
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

/** Tells whether a value has at least the members of a pattern, nested ones included. */
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
