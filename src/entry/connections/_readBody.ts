import { type IncomingMessage } from "node:http";
import { type BodyReservation } from "./bodyBytes.js";

/** A body, or why there is none. */
export type ReadBody = Buffer | "too-large" | "no-room" | "caller-left";

/** Options of {@linkcode readBody}. */
export interface ReadBodyOptions {
    /** Maximum size of the body. */
    readonly limitBytes: number;
    readonly reservation: BodyReservation;
}

/**
 * Reads a body and calls back once; with `too-large` beyond the limit, `no-room` where the host holds too many bodies,
 * `caller-left` if the request is aborted.
 */
export function readBody(
    message: IncomingMessage,
    { limitBytes, reservation }: ReadBodyOptions,
    onBody: (body: ReadBody) => void,
): void {
    let chunks: Buffer[] = [];
    let length = 0;
    let settled = false;
    const settle = (body: ReadBody): void => {
        if (!settled) {
            settled = true;
            chunks = [];
            onBody(body);
        }
    };
    const giveUp = (reason: "too-large" | "no-room"): void => {
        reservation.release();
        settle(reason);
    };
    message.on("data", (chunk: Buffer) => {
        length += chunk.length;
        if (settled) {
            return;
        }
        if (length > limitBytes) {
            giveUp("too-large");
        }
        else if (reservation.tryReserve(chunk.length)) {
            chunks.push(chunk);
        }
        else {
            giveUp("no-room");
        }
    });
    message.on("end", () => settle(Buffer.concat(chunks)));
    message.on("error", () => settle("caller-left"));
    message.on("close", () => settle("caller-left"));
}
