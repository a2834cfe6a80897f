/**
 * Runs one completion on an engine.
 *
 * @module
 */
import { type Dispatcher } from "undici";
import { upstreamRefusalSchema } from "../generated/upstreams.js";
import { parseDocument } from "../platform/parseDocument.js";
import { type AttemptFailure } from "../requests/messages.js";
import { type AnswerFault, refuseBrokenResponse } from "../transport/answers/index.js";
import { describeError, failedBeforeSending, readLimited, type ReplaceableAgent } from "../transport/index.js";
import { type ChunkOutcome, createChunkReader } from "./_chunks.js";
import { type Completion, type CompletionEvent, type CompletionOptions } from "./types.js";

const STATUS_OK = 200;
const STATUS_CONFLICT = 409;
const STATUS_TOO_MANY_REQUESTS = 429;
const STATUS_UNAVAILABLE = 503;
const FIRST_CLIENT_ERROR_STATUS = 400;
const FIRST_SERVER_ERROR_STATUS = 500;
const MAXIMUM_REFUSAL_BYTES = 64 * 1024;
const CANCEL_TIMEOUT_MILLISECONDS = 2000;
const DRAIN_MILLISECONDS = 1000;

/** Engine on which completions run, and limits on their answers. */
export interface CompletionTarget {
    readonly agent: ReplaceableAgent;
    readonly url: string;
    readonly maximumLineBytes: number;
    readonly maximumAnswerBytes: number;
    /** Called with what is wrong with a broken answer, which counts as none. */
    readonly onBroken: (fault: AnswerFault) => void;
}

/** Maps the status of an error answer, and its code, to the failure of the attempt. */
function classifyStatus(status: number, code: string | undefined): AttemptFailure {
    if (status === STATUS_CONFLICT && code === "not-resident") {
        return "not-resident";
    }
    if (status === STATUS_TOO_MANY_REQUESTS) {
        return "engine-busy";
    }
    if (status === STATUS_UNAVAILABLE) {
        return "not-started";
    }
    const isClientError = status >= FIRST_CLIENT_ERROR_STATUS && status < FIRST_SERVER_ERROR_STATUS;
    return isClientError && status !== STATUS_CONFLICT ? "rejected" : "incomplete";
}

function readRefusalCode(text: string | undefined): string | undefined {
    try {
        return parseDocument(upstreamRefusalSchema, JSON.parse(text ?? "")).data?.error.code;
    }
    catch {
        return undefined;
    }
}

function classifyError(error: unknown): AttemptFailure {
    return failedBeforeSending(error) ? "not-started" : "connection-lost";
}

/** Sends the engine a cancellation of a request; failures of this call are ignored. */
function sendCancellation({ agent, url }: CompletionTarget, identifier: string): void {
    const path = `/v1/requests/${encodeURIComponent(identifier)}`;
    const signal = AbortSignal.timeout(CANCEL_TIMEOUT_MILLISECONDS);
    agent.current.request({ origin: url, path, method: "DELETE", signal })
        .then(answer => answer.body.dump())
        .catch(() => undefined);
}

function createBody({ body, resumeAtToken }: CompletionOptions): string {
    const resume = resumeAtToken === 0 ? {} : { resume_offset: resumeAtToken };
    return JSON.stringify({ ...body, stream: true, ...resume });
}

/**
 * Splits a stream into lines and calls `onLine` with each. Returns the failure that applies where the stream ends, or
 * exceeds a limit, before its end marker.
 */
async function readLines(
    stream: AsyncIterable<Buffer>,
    target: CompletionTarget,
    onLine: (line: string) => void,
): Promise<CompletionEvent> {
    const decoder = new TextDecoder();
    let pending = "";
    let received = 0;
    for await (const part of stream) {
        received += part.length;
        pending += decoder.decode(part, { stream: true });
        const lines = pending.split("\n");
        pending = lines.pop() ?? "";
        lines.forEach(line => onLine(line.trimEnd()));
        if (pending.length > target.maximumLineBytes || received > target.maximumAnswerBytes) {
            return { type: "failed", failure: "incomplete", message: "a line or the answer exceeds its size limit" };
        }
    }
    return { type: "failed", failure: "incomplete", message: "the answer ended without its end marker" };
}

/**
 * Starts a completion and reports its events; the last one is `finished` or `failed`.
 *
 * @param target The engine and the limits on its answer.
 * @param options The request and the token at which to resume it.
 *
 * @example
 * ```ts
 * const completion = startCompletion(target, { identifier: "request-1", body, onEvent, ...options });
 * completion.cancel();
 * ```
 */
export function startCompletion(target: CompletionTarget, options: CompletionOptions): Completion {
    const abort = new AbortController();
    const agent = target.agent.current;
    let ended = false;
    let receivedParts = 0;
    let drainTimer: NodeJS.Timeout | undefined;

    /**
     * Reports the last event. After a complete answer the stream is read to its end for a limited time, so that its
     * connection can be reused.
     */
    function end(event: CompletionEvent): void {
        if (ended) {
            return;
        }
        ended = true;
        clearTimeout(silenceTimer);
        if (event.type === "finished") {
            drainTimer = setTimeout(() => abort.abort(), DRAIN_MILLISECONDS);
        }
        else {
            abort.abort();
        }
        if (event.type === "failed" && (event.failure === "silent" || event.failure === "incomplete")) {
            sendCancellation(target, options.identifier);
        }
        options.onEvent(event);
    }

    const silenceTimer = setTimeout(() => {
        const partsBefore = receivedParts;
        // If this process was paused, bytes that arrived meanwhile are read before the attempt is failed.
        setImmediate(() => {
            if (receivedParts === partsBefore) {
                failAsSilent();
            }
        });
    }, options.silenceMilliseconds);

    function failAsSilent(): void {
        if (!ended) {
            target.agent.retire(agent);
            end({
                type: "failed",
                failure: "silent",
                message: `no data received for ${options.silenceMilliseconds} ms`,
            });
        }
    }

    async function* refreshSilenceTimer(stream: AsyncIterable<Buffer>): AsyncGenerator<Buffer> {
        for await (const part of stream) {
            receivedParts += 1;
            if (!ended) {
                silenceTimer.refresh();
            }
            yield part;
        }
    }

    function handleOutcome(outcome: ChunkOutcome): void {
        if (ended || outcome.type === "nothing") {
            return;
        }
        if (outcome.type === "tokens") {
            options.onEvent(outcome);
            return;
        }
        end(outcome);
    }

    async function readRefusal(answer: Dispatcher.ResponseData): Promise<CompletionEvent> {
        const text = await readLimited(answer.body, MAXIMUM_REFUSAL_BYTES);
        const failure = classifyStatus(answer.statusCode, readRefusalCode(text));
        return { type: "failed", failure, message: `status ${answer.statusCode}: ${text ?? ""}` };
    }

    async function run(): Promise<CompletionEvent> {
        const answer = await agent.request({
            origin: target.url,
            path: "/v1/chat/completions",
            method: "POST",
            headers: {
                "content-type": "application/json",
                "x-request-id": options.identifier,
                "x-priority": options.priority,
            },
            body: createBody(options),
            signal: abort.signal,
        });
        const fault = refuseBrokenResponse(answer);
        if (fault !== undefined) {
            target.onBroken(fault);
            return { type: "failed", failure: "incomplete", message: `broken answer: ${fault}` };
        }
        if (answer.statusCode !== STATUS_OK) {
            return readRefusal(answer);
        }
        const readLine = createChunkReader(options.identifier, options.resumeAtToken);
        const lastEvent = await readLines(
            refreshSilenceTimer(answer.body),
            target,
            line => handleOutcome(readLine(line)),
        );
        clearTimeout(drainTimer);
        return lastEvent;
    }

    run().then(
        end,
        (error: unknown) => end({ type: "failed", failure: classifyError(error), message: describeError(error) }),
    );
    return {
        cancel() {
            if (!ended) {
                ended = true;
                clearTimeout(silenceTimer);
                abort.abort();
                sendCancellation(target, options.identifier);
            }
        },
    };
}
