/**
 * Completions of an engine stand-in, which generate their tokens at a configured speed, streamed or in one body.
 *
 * @module
 */
import { z } from "zod";
import { chatMessageSchema } from "../src/generated/callers.js";
import { createPrefixKeys } from "../src/upstreams/prefixKeys.js";
import { type EngineCache } from "./_engineCache.js";
import { type ResolvedEngineOptions } from "./_engineOptions.js";
import { expectedTokens } from "./_engineTokens.js";
import { json, type StandInAnswer, type StreamWriter } from "./_server.js";

/** Validates the fields of a completion request that the stand-in reads. */
export const completionSchema = z.looseObject({
    model: z.string(),
    messages: z.array(chatMessageSchema).min(1),
    max_tokens: z.number().int().positive().optional(),
    resume_offset: z.number().int().nonnegative().default(0),
    stream: z.boolean().default(false),
});
/** A completion request. */
export type CompletionRequest = z.infer<typeof completionSchema>;

/** A completion that has acquired a slot. */
export interface CompletionExecution {
    readonly identifier: string;
    readonly request: CompletionRequest;
    readonly cancelled: AbortSignal;
    readonly cache: EngineCache;
    readonly options: ResolvedEngineOptions;
}

/** Waits; 0 only yields to the event loop. */
export async function wait(milliseconds: number): Promise<void> {
    await new Promise(resolve => milliseconds === 0 ? setImmediate(resolve) : setTimeout(resolve, milliseconds));
}

async function generate(
    { request, cancelled, cache, options }: CompletionExecution,
    onToken: (token: string, index: number) => Promise<boolean>,
): Promise<boolean> {
    const tokens = expectedTokens(request);
    const prefixKeys = createPrefixKeys(request.model, request.messages);
    const uncached = prefixKeys.length - cache.use(prefixKeys);
    await wait(options.firstTokenMilliseconds + uncached * options.uncachedMessageMilliseconds);
    for (const [index, token] of tokens.entries()) {
        if (index < request.resume_offset) {
            continue;
        }
        if (cancelled.aborted || !await onToken(token, index)) {
            return false;
        }
        await wait(options.tokenMilliseconds);
    }
    return !cancelled.aborted;
}

/** Streams the tokens of a completion, followed by the end marker unless it was cancelled. */
export async function streamCompletion(execution: CompletionExecution, writer: StreamWriter): Promise<void> {
    const { request, identifier } = execution;
    const writeChunk = async (delta: object, finishReason: string | null, index: number) =>
        writer.write(`data: ${
            JSON.stringify({
                id: identifier,
                object: "chat.completion.chunk",
                choices: [{ index: 0, delta, finish_reason: finishReason }],
                token_index: index,
            })
        }\n\n`);
    const isComplete = await generate(execution, (token, index) => writeChunk({ content: token }, null, index));
    if (isComplete) {
        await writeChunk({}, "stop", expectedTokens(request).length);
        await writer.write("data: [DONE]\n\n");
    }
}

/** Generates a whole completion and returns it in one body. */
export async function answerCompletion(execution: CompletionExecution): Promise<StandInAnswer> {
    const tokens: string[] = [];
    await generate(execution, token => Promise.resolve(tokens.push(token) > 0));
    const message = { role: "assistant", content: tokens.join("") };
    return json(200, {
        id: execution.identifier,
        object: "chat.completion",
        choices: [{ index: 0, message, finish_reason: "stop" }],
    });
}
