/**
 * Reads the body of a call to a stand-in.
 *
 * @module
 */
import { type IncomingMessage } from "node:http";

/** Returns the body; `undefined` where the caller left before its end. */
export async function readBody(message: IncomingMessage): Promise<string | undefined> {
    const chunks: Buffer[] = [];
    try {
        for await (const chunk of message) {
            chunks.push(chunk as Buffer);
        }
    }
    catch {
        return undefined;
    }
    return Buffer.concat(chunks).toString();
}
