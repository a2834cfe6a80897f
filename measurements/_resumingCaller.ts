/**
 * A caller whose connection breaks within a stream, and who resumes the stream at other hosts.
 *
 * @module
 */
import { setTimeout as delay } from "node:timers/promises";
import { type CallerAnswer, type CallerRequest, callHost } from "../tests/support/entrySite.js";

const MAXIMUM_REQUESTS = 4;
const PAUSE_MILLISECONDS = 200;
const STATUS_OK = 200;

interface StreamEvent {
    readonly id: string;
    readonly version: string;
}

/** What the caller received. */
export interface ResumedStream {
    /** Answer to the caller's last request. */
    readonly answer: CallerAnswer;
    readonly requests: number;
    /** What is wrong with the events of a complete stream; `undefined` where nothing is. */
    readonly problem: string | undefined;
}

/** Options of {@linkcode callResuming}. */
export interface ResumingOptions {
    /** Number of events of a complete stream. */
    readonly events: number;
    /** The first connection breaks after this time. */
    readonly breakAfterMilliseconds: number;
    /** Returns the port that each request is sent to; `undefined` where no host is known. */
    readonly choosePort: () => number | undefined;
}

function readEvents(body: string): StreamEvent[] {
    return [...body.matchAll(/id: (\d+)\ndata: \d+ (\S+)\n\n/g)].map(([, id = "", version = ""]) => ({ id, version }));
}

function findProblem(events: readonly StreamEvent[], expected: number): string | undefined {
    const isInOrder = events.length === expected && events.every(({ id }, index) => Number(id) === index + 1);
    if (!isInOrder) {
        return `${events.length} events of ${expected}, or not in order`;
    }
    const versions = new Set(events.map(({ version }) => version));
    return versions.size === 1 ? undefined : `events of ${[...versions].join(" and ")}`;
}

/**
 * Requests a stream, breaks the connection, and resumes the stream until it is complete, a few times at most.
 *
 * @param request The first request.
 * @param options How the stream is broken and resumed.
 *
 * @example
 * ```ts
 * const stream = await callResuming(
 *     { id: "r1", path: "/streams/1" },
 *     { events: 40, breakAfterMilliseconds: 300, choosePort },
 * );
 * ```
 */
export async function callResuming(
    request: CallerRequest & { readonly id: string; },
    { breakAfterMilliseconds, choosePort, events: expected }: ResumingOptions,
): Promise<ResumedStream> {
    const events: StreamEvent[] = [];
    let firstRequest: string | undefined;
    for (let requests = 1;; requests += 1) {
        const id = `${request.id}-${requests}`;
        const last = events.at(-1);
        const resuming = last === undefined || firstRequest === undefined
            ? {}
            : { "Last-Event-Id": last.id, Resumes: firstRequest };
        const answer = await callHost({ settings: { callers: { address: "127.0.0.1", port: choosePort() ?? 0 } } }, {
            ...request,
            id,
            headers: { ...request.headers, ...resuming },
            ...requests === 1 ? { disconnectAfterMilliseconds: breakAfterMilliseconds } : {},
        });
        if (answer.status === STATUS_OK) {
            events.push(...readEvents(answer.body));
            firstRequest ??= events.length > 0 ? id : undefined;
        }
        const isComplete = answer.status === STATUS_OK && answer.isComplete;
        if (isComplete || requests === MAXIMUM_REQUESTS) {
            return { answer, requests, problem: isComplete ? findProblem(events, expected) : undefined };
        }
        await delay(PAUSE_MILLISECONDS);
    }
}
