/**
 * Answers that their callers read when the test lets them.
 *
 * @module
 */
import { type Agent, request as sendRequest } from "node:http";
import { type EntrySettings } from "../../src/entry/index.js";
import { type CallerAnswer, type CallerRequest, HOST_NAME } from "./entrySite.js";

/** A received answer, with the times in which its caller received nothing. */
export interface TimedAnswer extends CallerAnswer {
    /** Time from the request to the first piece of the body, or to the end of an answer without one. */
    readonly firstGapMilliseconds: number;
    /** Longest of the times between pieces, and to the end; 0 for an answer without a body. */
    readonly longestLaterGapMilliseconds: number;
    readonly longestGapMilliseconds: number;
}

/** A request, and the connections on which it may be sent; by default on one of its own. */
export interface HeldRequest extends CallerRequest {
    readonly agent?: Agent;
}

/** An answer in progress. */
export interface HeldAnswer {
    /** Resolves once the answer has ended, complete or not. */
    readonly ended: Promise<TimedAnswer>;
    /** Resolves with the head of the answer, or when there will be none. */
    readonly begun: Promise<void>;
    /** Number of bytes that were read so far. */
    readonly readBytes: () => number;
    /** Stops reading; the bytes that arrive stay in the connection. */
    pause(): void;
    resume(): void;
}

let requestCount = 0;

/**
 * Sends a request, and reads its answer at the pace of the test.
 *
 * @param host The host.
 * @param request The request.
 * @param isPaused True for a caller that reads nothing before `resume`.
 */
export function holdAnswer(
    host: { readonly settings: Pick<EntrySettings, "callers">; },
    request: HeldRequest,
    isPaused = false,
): HeldAnswer {
    requestCount += 1;
    const { address, port } = host.settings.callers;
    const pieces: Buffer[] = [];
    const startedAt = performance.now();
    let lastAt = startedAt;
    const gapsMilliseconds: number[] = [];
    let paused = isPaused;
    let applyPause = (): void => undefined;
    let markBegun = (): void => undefined;
    const begun = new Promise<void>(resolve => {
        markBegun = resolve;
    });
    const recordPiece = (): void => {
        const now = performance.now();
        gapsMilliseconds.push(now - lastAt);
        lastAt = now;
    };
    const ended = new Promise<TimedAnswer>(resolve => {
        const finish = (status: number | undefined, headers: CallerAnswer["headers"], isComplete: boolean): void => {
            recordPiece();
            markBegun();
            const [firstGapMilliseconds = 0, ...laterGapsMilliseconds] = gapsMilliseconds;
            const longestLaterGapMilliseconds = Math.max(0, ...laterGapsMilliseconds);
            resolve({
                status,
                headers,
                body: Buffer.concat(pieces).toString(),
                isComplete,
                tookMilliseconds: performance.now() - startedAt,
                firstGapMilliseconds,
                longestLaterGapMilliseconds,
                longestGapMilliseconds: Math.max(firstGapMilliseconds, longestLaterGapMilliseconds),
            });
        };
        const clientRequest = sendRequest({
            host: address,
            port,
            agent: request.agent ?? false,
            method: request.method ?? "GET",
            path: request.path,
            headers: {
                "Host": request.hostName ?? HOST_NAME,
                "Flamingospread-Request-Id": request.id ?? `held-${requestCount}`,
                ...request.headers,
            },
        }, answer => {
            applyPause = () => {
                if (paused) {
                    answer.pause();
                }
                else {
                    answer.resume();
                }
            };
            answer.on("data", (piece: Buffer) => {
                recordPiece();
                pieces.push(piece);
            });
            answer.on("end", () => finish(answer.statusCode, answer.headers, answer.complete));
            answer.on("error", () => finish(answer.statusCode, answer.headers, false));
            applyPause();
            markBegun();
        });
        clientRequest.on("error", () => finish(undefined, {}, false));
        clientRequest.end(request.body);
    });
    const setPaused = (value: boolean): void => {
        paused = value;
        applyPause();
    };
    return {
        ended,
        begun,
        readBytes: () => pieces.reduce((sum, { length }) => sum + length, 0),
        pause: () => setPaused(true),
        resume: () => setPaused(false),
    };
}

/** Returns the identifiers of the events in the body of a stream, in order. */
export function eventIds(body: string): number[] {
    return [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
}

/** Returns the identifiers of the events of a stream that is complete. */
export function allEventIds(events: number): number[] {
    return Array.from({ length: events }, (_, index) => index + 1);
}
