/**
 * Completions of an engine stand-in: their tokens, paced and streamed.
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

/** Validates: The part of a completion request that the stand-in reads. */
export const completionSchema = z.looseObject({
    model: z.string(),
    messages: z.array(chatMessageSchema).min(1),
    max_tokens: z.number().int().positive().optional(),
    resume_offset: z.number().int().nonnegative().default(0),
    stream: z.boolean().default(false),
});
/** A completion request. */
export type CompletionRequest = z.infer<typeof completionSchema>;

/** One completion that holds a slot. */
export interface CompletionRun {
    readonly identifier: string;
    readonly asked: CompletionRequest;
    readonly cancelled: AbortSignal;
    readonly cache: EngineCache;
    readonly options: ResolvedEngineOptions;
}

/** Waits; 0 lets other work run and goes on at once. */
export async function pause(milliseconds: number): Promise<void> {
    await new Promise(resolve => milliseconds === 0 ? setImmediate(resolve) : setTimeout(resolve, milliseconds));
}

async function generate(
    { asked, cancelled, cache, options }: CompletionRun,
    onToken: (token: string, index: number) => Promise<boolean>,
): Promise<boolean> {
    const tokens = expectedTokens(asked);
    const prefixKeys = createPrefixKeys(asked.model, asked.messages);
    const uncached = prefixKeys.length - cache.use(prefixKeys);
    await pause(options.firstTokenMilliseconds + uncached * options.uncachedMessageMilliseconds);
    for (const [index, token] of tokens.entries()) {
        if (index < asked.resume_offset) {
            continue;
        }
        if (cancelled.aborted || !await onToken(token, index)) {
            return false;
        }
        await pause(options.tokenMilliseconds);
    }
    return !cancelled.aborted;
}

/** Writes the tokens of a completion as they come, and the end marker where it was not cancelled. */
export async function streamCompletion(run: CompletionRun, writer: StreamWriter): Promise<void> {
    const { asked, identifier } = run;
    const writeChunk = async (delta: object, finishReason: string | null, index: number) =>
        writer.write(`data: ${
            JSON.stringify({
                id: identifier,
                object: "chat.completion.chunk",
                choices: [{ index: 0, delta, finish_reason: finishReason }],
                token_index: index,
            })
        }\n\n`);
    const whole = await generate(run, (token, index) => writeChunk({ content: token }, null, index));
    if (whole) {
        await writeChunk({}, "stop", expectedTokens(asked).length);
        await writer.write("data: [DONE]\n\n");
    }
}

/** Answers a completion in one body. */
export async function answerWhole(run: CompletionRun): Promise<StandInAnswer> {
    const tokens: string[] = [];
    await generate(run, token => Promise.resolve(tokens.push(token) > 0));
    const message = { role: "assistant", content: tokens.join("") };
    return json(200, {
        id: run.identifier,
        object: "chat.completion",
        choices: [{ index: 0, message, finish_reason: "stop" }],
    });
}
