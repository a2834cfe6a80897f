import { type IncomingMessage } from "node:http";
import { type HeldMemory } from "../../memory/index.js";
import { type Acts } from "../actQueue.js";
import { BodyBuffer, freeLargePiece } from "./_bodyBuffer.js";
import { BodyIdleTimer } from "./_bodyIdleTimer.js";
import { type RequestMemory } from "./requestMemory.js";

/** A body, or why there is none. */
export type ReadBody = Buffer | "too-large" | "no-room" | "idle" | "caller-left";

/** Options of {@linkcode readBody}. */
export interface ReadBodyOptions {
    /** Maximum size of the body. */
    readonly limitBytes: number;
    readonly memory: RequestMemory;
    /** Holds the body. */
    readonly held: HeldMemory;
    readonly acts: Pick<Acts, "afterReading">;
    /** Time without a byte after which the body is given up. */
    readonly idleTimeoutMilliseconds: number;
    /** Returns whether nothing of the connection is read for now. */
    readonly isReadingPaused: () => boolean;
}

/** Returns the length of a body that its head states; `undefined` for one in chunks. */
function lengthOf({ headers }: IncomingMessage): number | undefined {
    const length = headers["content-length"];
    return headers["transfer-encoding"] !== undefined || length === undefined ? undefined : Number(length);
}

/** Reads the rest of a request that is not wanted, and frees it. */
export function discardBody(message: IncomingMessage): void {
    message.on("data", freeLargePiece);
}

/**
 * Reads a body and calls back once; with `too-large` beyond the limit, `no-room` where the host has no memory left for
 * it, `idle` where nothing more of it comes, `caller-left` if the request is aborted. What its head tells is decided
 * before anything of the body is read; the rest of a body that is not wanted is discarded.
 */
export function readBody(
    message: IncomingMessage,
    { acts, held, idleTimeoutMilliseconds, isReadingPaused, limitBytes, memory }: ReadBodyOptions,
    onBody: (body: ReadBody) => void,
): void {
    const { reservation } = held;
    const lengthBytes = lengthOf(message);
    const isTooLarge = lengthBytes !== undefined && lengthBytes > limitBytes;
    const hasRoom = isTooLarge || memory.expectsRoomFor(lengthBytes ?? 0);
    const buffer = new BodyBuffer({ lengthBytes, limitBytes, reservation });
    let receivedBytes = 0;
    let settled = false;
    const timer = new BodyIdleTimer({
        acts,
        timeoutMilliseconds: idleTimeoutMilliseconds,
        isReadingPaused,
        onIdle: () => giveUp("idle"),
    });
    const progress = memory.follow({ reservation, lengthBytes: lengthBytes ?? 0, refuse: () => giveUp("no-room") });
    const settle = (body: ReadBody): void => {
        if (!settled) {
            settled = true;
            timer.close();
            progress.close();
            onBody(body);
        }
    };
    const giveUp = (reason: Exclude<ReadBody, Buffer>): void => {
        if (!settled) {
            buffer.clear();
            reservation.release();
            settle(reason);
        }
    };
    message.on("data", (piece: Buffer) => {
        receivedBytes += piece.length;
        timer.recordPiece();
        progress.record(piece.length);
        if (settled) {
            freeLargePiece(piece);
            return;
        }
        if (receivedBytes > limitBytes) {
            giveUp("too-large");
        }
        else if (!buffer.append(piece)) {
            giveUp("no-room");
        }
    });
    message.on("end", () => {
        held.setFree(() => buffer.clear());
        settle(buffer.read());
    });
    message.on("error", () => giveUp("caller-left"));
    message.on("close", () => giveUp("caller-left"));
    if (isTooLarge) {
        giveUp("too-large");
    }
    else if (!hasRoom) {
        giveUp("no-room");
    }
}
