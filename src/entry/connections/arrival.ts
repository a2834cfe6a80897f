/**
 * A caller's request as it was read from its connection.
 *
 * @module
 */
import { type IncomingMessage, type ServerResponse } from "node:http";
import { type RequestTarget } from "./requestTarget.js";

/** Why a request is rejected as it was read; its body is empty then. */
export type RequestProblem =
    /** Nothing more of the body came within the time limit. */
    | "body-stalled"
    | "body-too-large"
    | "headers-too-large"
    /** Its path has characters that HTTP does not allow there. */
    | "invalid-target"
    | "no-host"
    /** The host has no memory left for the request and its body. */
    | "no-room-for-bodies"
    | "unknown-expectation"
    /** No account holds its key; found before its body was read. */
    | "unknown-key";

/** Options of the decision whether an answer is the last one of its connection. */
export interface CloseDecisionOptions {
    /** True where the caller should use another host. */
    readonly isWanted: boolean;
    /** False for an answer whose length is not known when its head is written. */
    readonly hasLength: boolean;
}

/** A request that was read, or of which enough was read to reject it. */
export interface Arrival {
    readonly message: IncomingMessage;
    readonly response: ServerResponse;
    readonly target: RequestTarget;
    readonly body: Buffer;
    /** Keeps the body in memory until the function that it returns is called, or the request has ended if that is later. */
    readonly holdBody: () => () => void;
    /** `undefined` for a request that may be handled. */
    readonly problem: RequestProblem | undefined;
    /** When its head was read. */
    readonly arrivedAtMilliseconds: number;
    /** The longest time for which it may have lain unread before. */
    readonly longestUnreadMilliseconds: number;
    /** Number of earlier requests on its connection that had no whole answer when this one's head was read. */
    readonly unansweredBefore: number;
    /**
     * Decides, when the head of the answer is written, whether it is the last one of its connection: where this cannot be
     * avoided, or is wanted and no other request waits for its answer there.
     */
    readonly closesConnection: (options: CloseDecisionOptions) => boolean;
}
