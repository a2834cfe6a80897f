/**
 * Checks the events of one streamed completion.
 *
 * @module
 */
import { completionChunkSchema } from "../generated/upstreams.js";
import { type CompletionEvent } from "./types.js";

const DATA_PREFIX = "data:";
const END_MARKER = "[DONE]";

/** What one line of a stream means. */
export type ChunkOutcome =
    | CompletionEvent
    /** Nothing to pass on: a comment, a blank line, a token that was had before. */
    | { readonly type: "nothing"; };

/**
 * Creates a reader of a stream's lines: every chunk must carry the request's identifier and the next token.
 *
 * A token that was had before is dropped; a gap, a foreign identifier or an early end marker fails the attempt.
 *
 * @param identifier The request's identifier.
 * @param resumeAtToken Index of the first token that the caller lacks.
 *
 * @example
 * ```ts
 * const readLine = createChunkReader("request-1", 0);
 * const event = readLine("data: [DONE]"); // failed: the end marker came before the last chunk
 * ```
 */
export function createChunkReader(identifier: string, resumeAtToken: number): (line: string) => ChunkOutcome {
    let nextToken = resumeAtToken;
    let finishReason: string | undefined;

    function incomplete(message: string): ChunkOutcome {
        return { type: "failed", failure: "incomplete", message };
    }

    function finish(): ChunkOutcome {
        return finishReason === undefined
            ? incomplete("the end marker came before the last chunk")
            : { type: "finished", finishReason, totalTokens: nextToken };
    }

    function takeToken(index: number | undefined, text: string): ChunkOutcome {
        if (index === undefined) {
            return incomplete("a token without its index");
        }
        if (index > nextToken) {
            return incomplete(`token ${index} where ${nextToken} was next`);
        }
        if (index < nextToken) {
            return { type: "nothing" };
        }
        nextToken += 1;
        return { type: "tokens", index, count: 1, text };
    }

    function readChunk(data: string): ChunkOutcome {
        const chunk = completionChunkSchema.safeParse(JSON.parse(data));
        if (!chunk.success) {
            return incomplete(chunk.error.message);
        }
        if (chunk.data.id !== identifier) {
            return incomplete("a chunk of another request");
        }
        const choice = chunk.data.choices[0];
        const text = choice?.delta?.content ?? "";
        const index = chunk.data.token_index;
        const last = typeof choice?.finish_reason === "string";
        if (text === "" && last && index !== undefined && index > nextToken) {
            return incomplete(`the answer ended at token ${index} where ${nextToken} was next`);
        }
        finishReason = last ? choice.finish_reason ?? undefined : finishReason;
        return text === "" ? { type: "nothing" } : takeToken(index, text);
    }

    return line => {
        if (!line.startsWith(DATA_PREFIX)) {
            return { type: "nothing" };
        }
        const data = line.slice(DATA_PREFIX.length).trim();
        if (data === END_MARKER) {
            return finish();
        }
        try {
            return readChunk(data);
        }
        catch {
            return incomplete("a chunk that is not JSON");
        }
    };
}
