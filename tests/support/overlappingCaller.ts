/**
 * A caller that sends requests on one connection before the answers to earlier ones are over.
 *
 * @module
 */
import { connect, type Socket } from "node:net";
import { type EntrySettings } from "../../src/entry/index.js";
import { HOST_NAME } from "./entrySite.js";

const LINE_END = "\r\n";
const HEAD_END = "\r\n\r\n";
const LENGTH_BASE_OF_CHUNKS = 16;

/** Answers with lower statuses are followed by another one to the same request. */
const STATUS_OK = 200;

/** A request, before it is written as bytes. */
export interface OverlappingRequest {
    readonly id: string;
    readonly path: string;
    readonly method?: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string;
    /** Sends the body in chunks instead of with a length. */
    readonly isChunked?: boolean;
}

/** An answer, in the order of the connection. */
export interface OrderedAnswer {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: string;
    /** False if the connection ended within the answer. */
    readonly isComplete: boolean;
}

function renderBody({ body = "", isChunked = false }: OverlappingRequest): string {
    return isChunked && body !== ""
        ? `${body.length.toString(LENGTH_BASE_OF_CHUNKS)}${LINE_END}${body}${LINE_END}0${HEAD_END}`
        : body;
}

/** Returns the bytes of a request. */
export function renderRequest(request: OverlappingRequest): string {
    const { body = "", headers = {}, id, isChunked = false, method, path } = request;
    const framing = isChunked ? "Transfer-Encoding: chunked" : `Content-Length: ${body.length}`;
    const lines = [
        `${method ?? (body === "" ? "GET" : "POST")} ${path} HTTP/1.1`,
        `Host: ${HOST_NAME}`,
        `Flamingospread-Request-Id: ${id}`,
        ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
        ...body === "" ? [] : [framing],
    ];
    return lines.join(LINE_END) + HEAD_END + renderBody(request);
}

interface ParsedBody {
    readonly body: string;
    readonly rest: string;
}

/** Returns a chunked body and what follows it; `undefined` while its last chunk has not arrived. */
function parseChunks(text: string): ParsedBody | undefined {
    let body = "";
    let rest = text;
    for (;;) {
        const lineEnd = rest.indexOf(LINE_END);
        if (lineEnd === -1) {
            return undefined;
        }
        const length = Number.parseInt(rest.slice(0, lineEnd), LENGTH_BASE_OF_CHUNKS);
        const begin = lineEnd + LINE_END.length;
        const end = begin + length;
        if (rest.length < end + LINE_END.length) {
            return undefined;
        }
        body += rest.slice(begin, end);
        rest = rest.slice(end + LINE_END.length);
        if (length === 0) {
            return { body, rest };
        }
    }
}

function parseBody(text: string, headers: OrderedAnswer["headers"]): ParsedBody | undefined {
    if (headers["transfer-encoding"] === "chunked") {
        return parseChunks(text);
    }
    const length = Number(headers["content-length"] ?? "0");
    return text.length < length ? undefined : { body: text.slice(0, length), rest: text.slice(length) };
}

function parseHead(head: string): Pick<OrderedAnswer, "status" | "headers"> {
    const [statusLine = "", ...lines] = head.split(LINE_END);
    const fields = lines.map(line => line.split(": "));
    return {
        status: Number(statusLine.split(" ")[1]),
        headers: Object.fromEntries(fields.map(([name = "", value = ""]) => [name.toLowerCase(), value])),
    };
}

interface ParsedAnswer {
    readonly answer: OrderedAnswer;
    readonly rest: string;
}

/** Returns the first answer in bytes of a connection, and what follows it; `undefined` before the end of its head. */
function parseAnswer(text: string): ParsedAnswer | undefined {
    const headEnd = text.indexOf(HEAD_END);
    if (headEnd === -1) {
        return undefined;
    }
    const head = parseHead(text.slice(0, headEnd));
    const following = text.slice(headEnd + HEAD_END.length);
    const parsed = parseBody(following, head.headers);
    return parsed === undefined
        ? { answer: { ...head, body: following, isComplete: false }, rest: "" }
        : { answer: { ...head, body: parsed.body, isComplete: true }, rest: parsed.rest };
}

/** Returns the length of the first answer; 0 if its head has not arrived or names none. */
function lengthOfAnswer(text: string): number {
    const headEnd = text.indexOf(HEAD_END);
    if (headEnd === -1) {
        return 0;
    }
    const { headers } = parseHead(text.slice(0, headEnd));
    return headEnd + HEAD_END.length + Number(headers["content-length"] ?? "0");
}

/** Returns the answers in the bytes of a connection; the last one is incomplete if the bytes end within it. */
export function parseAnswers(text: string): OrderedAnswer[] {
    const answers: OrderedAnswer[] = [];
    for (let parsed = parseAnswer(text); parsed !== undefined; parsed = parseAnswer(parsed.rest)) {
        if (!parsed.answer.isComplete || parsed.answer.status >= STATUS_OK) {
            answers.push(parsed.answer);
        }
    }
    return answers;
}

/** One connection of a caller to a host; `close` ends it at once. */
export class OverlappingCaller {
    readonly #socket: Socket;
    readonly #complete: OrderedAnswer[] = [];
    /** Length of the next answer if its head tells that; it is parsed once so much has arrived. */
    #nextLength = 0;
    /** What follows the complete answers. */
    #text = "";
    #closedAtMilliseconds: number | undefined;
    #changed: () => void = () => undefined;

    constructor({ settings }: { readonly settings: Pick<EntrySettings, "callers">; }) {
        this.#socket = connect(settings.callers.port, settings.callers.address);
        this.#socket.setNoDelay(true);
        this.#socket.on("data", piece => {
            this.#text += piece.toString("latin1");
            this.#takeComplete();
            this.#changed();
        });
        this.#socket.on("error", () => undefined);
        this.#socket.on("close", () => {
            this.#closedAtMilliseconds = performance.now();
            this.#changed();
        });
    }

    /** True once the host or the caller has closed the connection. */
    get isClosed(): boolean {
        return this.#closedAtMilliseconds !== undefined;
    }

    /** Time at which the connection was closed. */
    get closedAtMilliseconds(): number | undefined {
        return this.#closedAtMilliseconds;
    }

    /** Number of complete answers received so far. */
    get answerCount(): number {
        return this.#complete.length;
    }

    /** Answers received so far; the last one is incomplete if its end has not arrived. */
    get answers(): readonly OrderedAnswer[] {
        const last = parseAnswer(this.#text);
        return last === undefined ? [...this.#complete] : [...this.#complete, last.answer];
    }

    /** True once an answer said that the connection closes, after which a caller sends nothing on it. */
    get isToldToClose(): boolean {
        return this.#complete.some(({ headers }) => headers["connection"] === "close");
    }

    /** The caller's port; 0 before it is connected. */
    get localPort(): number {
        return this.#socket.localPort ?? 0;
    }

    /** Sends bytes in one write. */
    write(bytes: string | Buffer): void {
        this.#socket.write(bytes);
    }

    /** Ends the caller's direction, and reads on. */
    endSending(): void {
        this.#socket.end();
    }

    /** Stops reading answers, as a slow caller does. */
    pause(): void {
        this.#socket.pause();
    }

    resume(): void {
        this.#socket.resume();
    }

    /** Waits for a number of complete answers, or until the connection is closed or the time is over. */
    async waitForAnswers(count: number, withinMilliseconds: number): Promise<readonly OrderedAnswer[]> {
        await new Promise<void>(resolve => {
            const timer = setTimeout(resolve, withinMilliseconds);
            this.#changed = () => {
                if (this.isClosed || this.answerCount >= count) {
                    clearTimeout(timer);
                    resolve();
                }
            };
            this.#changed();
        });
        this.#changed = () => undefined;
        return this.answers;
    }

    /** Closes the connection, with an orderly end or with a reset. */
    close(how: "end" | "reset" = "end"): void {
        if (how === "reset") {
            this.#socket.resetAndDestroy();
        }
        else {
            this.#socket.destroy();
        }
    }

    #takeComplete(): void {
        if (this.#text.length < this.#nextLength) {
            return;
        }
        for (let parsed = parseAnswer(this.#text); parsed?.answer.isComplete === true;) {
            this.#text = parsed.rest;
            if (parsed.answer.status >= STATUS_OK) {
                this.#complete.push(parsed.answer);
            }
            parsed = parseAnswer(this.#text);
        }
        this.#nextLength = lengthOfAnswer(this.#text);
    }
}
