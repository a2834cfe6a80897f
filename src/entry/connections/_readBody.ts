import { type IncomingMessage } from "node:http";

/** Reads a body and calls back once; with `too-large` beyond the limit, `caller-left` if the request is aborted. */
export function readBody(
    message: IncomingMessage,
    limit: number,
    onBody: (body: Buffer | "too-large" | "caller-left") => void,
): void {
    const chunks: Buffer[] = [];
    let length = 0;
    let settled = false;
    const settle = (body: Buffer | "too-large" | "caller-left"): void => {
        if (!settled) {
            settled = true;
            onBody(body);
        }
    };
    message.on("data", (chunk: Buffer) => {
        length += chunk.length;
        if (length > limit) {
            settle("too-large");
            return;
        }
        chunks.push(chunk);
    });
    message.on("end", () => settle(Buffer.concat(chunks)));
    message.on("error", () => settle("caller-left"));
    message.on("close", () => settle("caller-left"));
}
