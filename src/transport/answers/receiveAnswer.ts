/**
 * Receives the answer to a request of Node's HTTP client, unless it is broken.
 *
 * @module
 */
import { type ClientRequest, type IncomingHttpHeaders, type IncomingMessage } from "node:http";
import { type AnswerFault } from "./answerFault.js";
import { framingOf } from "./answerFraming.js";
import { confirmConnectionEnd } from "./confirmConnectionEnd.js";
import { findHeadFault, type ReceivedHead } from "./findHeadFault.js";

/** Code of the parser's error for a field's name or value; which of them it refuses itself depends on its version. */
const INVALID_FIELD = "HPE_INVALID_HEADER_TOKEN";

/** Head of an answer that Node's HTTP client has read. */
export interface AnswerHead extends ReceivedHead {
    readonly headers: IncomingHttpHeaders;
}

/** Callbacks for an answer. */
export interface ReceiveAnswerOptions {
    /**
     * A sound head was received; the answer ends with `end` where it is complete. A connection that is lost is reported
     * as an error of the request or of the answer.
     */
    readonly onAnswer: (answer: IncomingMessage, head: AnswerHead) => void;
    /** The answer is broken, and its connection given up; `error` is that of a connection that was reset. */
    readonly onBroken: (fault: AnswerFault, error?: NodeJS.ErrnoException) => void;
}

/**
 * Receives the final answer to a request. To be called before other listeners for errors of the request are added, so that
 * a broken answer is reported before its error.
 *
 * @param request The request, which need not have been sent.
 * @param options Callbacks for the answer.
 *
 * @example
 * ```ts
 * receiveAnswer(request, {
 *     onAnswer: answer => answer.pipe(process.stdout),
 *     onBroken: fault => console.error(fault),
 * });
 * ```
 */
export function receiveAnswer(request: ClientRequest, { onAnswer, onBroken }: ReceiveAnswerOptions): void {
    let received: IncomingMessage | undefined;
    const receive = (answer: IncomingMessage): void => {
        received = answer;
        const { headers, rawHeaders, statusCode: status = 0 } = answer;
        const head = { status, headers, rawHeaders };
        const fault = findHeadFault(head);
        if (fault !== undefined) {
            request.destroy();
            onBroken(fault);
            return;
        }
        if (framingOf(head, request.method) === "connection-end") {
            confirmConnectionEnd(answer.socket, error => onBroken("reset-at-end", error));
        }
        onAnswer(answer, head);
    };
    request.on("response", receive);
    request.on("error", ({ code }: NodeJS.ErrnoException) => {
        if (code === INVALID_FIELD && received?.complete !== true) {
            onBroken("field");
        }
    });
    // An answer that changes the protocol, which nobody asked for, leaves its connection to the listener.
    request.on("upgrade", (answer, socket) => {
        receive(answer);
        socket.destroy();
    });
}
