/**
 * Parser and checker of the events of one streamed completion.
 *
 * @module
 */
import { completionChunkSchema } from "../generated/upstreams.js";
import { describeFault, parseDocument } from "../platform/parseDocument.js";
import { type CompletionEvent } from "./types.js";

const DATA_PREFIX = "data:";
const END_MARKER = "[DONE]";

/** Result of parsing one line of a stream. */
export type ChunkOutcome =
    | CompletionEvent
    /** Nothing to report: a comment, a blank line, or a token that the caller already has. */
    | { readonly type: "nothing"; };

/**
 * Returns a function that parses a stream line by line. Every chunk must carry the request's identifier and the next
 * token.
 *
 * A token that the caller already has is dropped. A gap between tokens, another request's identifier or an end marker
 * before the last chunk fails the attempt.
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

    function failIncomplete(message: string): ChunkOutcome {
        return { type: "failed", failure: "incomplete", message };
    }

    function handleEndMarker(): ChunkOutcome {
        return finishReason === undefined
            ? failIncomplete("the end marker came before the last chunk")
            : { type: "finished", finishReason, totalTokens: nextToken };
    }

    function handleToken(index: number | undefined, text: string): ChunkOutcome {
        if (index === undefined) {
            return failIncomplete("a token has no index");
        }
        if (index > nextToken) {
            return failIncomplete(`token ${index} received where token ${nextToken} was expected`);
        }
        if (index < nextToken) {
            return { type: "nothing" };
        }
        nextToken += 1;
        return { type: "tokens", index, count: 1, text };
    }

    function handleChunk(data: string): ChunkOutcome {
        const chunk = parseDocument(completionChunkSchema, JSON.parse(data));
        if (!chunk.success) {
            return failIncomplete(describeFault(chunk.error));
        }
        if (chunk.data.id !== identifier) {
            return failIncomplete("a chunk carries the identifier of another request");
        }
        const choice = chunk.data.choices[0];
        const text = choice?.delta?.content ?? "";
        const index = chunk.data.token_index;
        const isLastChunk = typeof choice?.finish_reason === "string";
        if (text === "" && isLastChunk && index !== undefined && index > nextToken) {
            return failIncomplete(`the answer ended at token ${index} where token ${nextToken} was expected`);
        }
        finishReason = isLastChunk ? choice.finish_reason ?? undefined : finishReason;
        return text === "" ? { type: "nothing" } : handleToken(index, text);
    }

    return line => {
        if (!line.startsWith(DATA_PREFIX)) {
            return { type: "nothing" };
        }
        const data = line.slice(DATA_PREFIX.length).trim();
        if (data === END_MARKER) {
            return handleEndMarker();
        }
        try {
            return handleChunk(data);
        }
        catch {
            return failIncomplete("a chunk is not valid JSON");
        }
    };
}
