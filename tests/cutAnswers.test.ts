/**
 * Answers whose sizes and cuts follow from a seed, sound ones and some without end. `npx tsx tests/cutAnswers.test.ts 50`
 * plays the seeds up to 50 by hand; the test run plays two.
 *
 * @module
 */
import fc from "fast-check";
import assert from "node:assert/strict";
import { once } from "node:events";
import { type Socket } from "node:net";
import { after, before, test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { createSeededRandom, type RandomSource } from "../src/decision/index.js";
import { type BundledProgram, bundleProgram } from "./support/bundledProgram.js";
import { callHost } from "./support/entrySite.js";
import { type Answer, startObservedSite } from "./support/observedSite.js";
import { renderHead } from "./support/rawEngine.js";

const SOUND_ANSWERS = 12;
const MAXIMUM_ENDLESS_ANSWERS = 2;
const MAXIMUM_CHUNKS = 20_000;
const MAXIMUM_PAUSE_MILLISECONDS = 20;
const MAXIMUM_WRITES = 20;
const HEXADECIMAL = 16;

const DEFAULT_SEEDS = 2;
const seeds = Math.max(1, Number(process.argv[2] ?? DEFAULT_SEEDS) || DEFAULT_SEEDS);

let bundled: BundledProgram;
before(async () => {
    bundled = await bundleProgram();
});
after(() => bundled.close());

/** An answer and how it is cut; one without end repeats its body. */
interface CutAnswer {
    readonly kind: "read" | "stream";
    readonly isEndless: boolean;
    /** The number of chunks, and their largest size. */
    readonly chunks: number;
    readonly chunkBytes: number;
    /** The number of writes, and the pause between two of them. */
    readonly writes: number;
    readonly pauseMilliseconds: number;
    readonly seed: number;
}

const arbitraryAnswer = (isEndless: boolean): fc.Arbitrary<CutAnswer> =>
    fc.record({
        kind: fc.constantFrom("read", "stream"),
        isEndless: fc.constant(isEndless),
        chunks: fc.integer({ min: 1, max: MAXIMUM_CHUNKS }),
        chunkBytes: fc.constantFrom(1, 1, 2, 3, 10, 100),
        writes: fc.integer({ min: 1, max: MAXIMUM_WRITES }),
        pauseMilliseconds: fc.integer({ min: 0, max: MAXIMUM_PAUSE_MILLISECONDS }),
        seed: fc.nat(),
    });

const arbitraryAnswers = fc.tuple(
    fc.array(arbitraryAnswer(false), { minLength: SOUND_ANSWERS, maxLength: SOUND_ANSWERS }),
    fc.array(arbitraryAnswer(true), { maxLength: MAXIMUM_ENDLESS_ANSWERS }),
).map(parts => parts.flat());

const pick = (random: RandomSource, maximum: number): number => 1 + Math.floor(random() * maximum);

/** Renders chunks, and the body that they carry; a stream's is a series of events of random lengths. */
function render(answer: CutAnswer): { readonly body: string; readonly chunks: string; } {
    const random = createSeededRandom(answer.seed);
    const sizes = Array.from({ length: answer.chunks }, () => pick(random, answer.chunkBytes));
    const length = sizes.reduce((total, size) => total + size, 0);
    let body = "";
    for (let event = 1; answer.kind === "stream" && body.length < length; event += 1) {
        body += `id: ${event}\ndata: ${"x".repeat(pick(random, 200))}\n\n`;
    }
    body = answer.kind === "stream" ? body : "0123456789".repeat(length / 10 + 1).slice(0, length);
    let at = 0;
    const chunks: string[] = [];
    while (at < body.length) {
        const data = body.slice(at, at + (sizes[chunks.length] ?? answer.chunkBytes));
        chunks.push(`${data.length.toString(HEXADECIMAL)}\r\n${data}\r\n`);
        at += data.length;
    }
    return { body, chunks: chunks.join("") };
}

async function send(socket: Socket, requestId: string, answer: CutAnswer): Promise<void> {
    const { chunks } = render(answer);
    socket.write(renderHead(requestId, "Transfer-Encoding: chunked\r\n"));
    const writeBytes = Math.ceil(chunks.length / answer.writes);
    do {
        for (let at = 0; at < chunks.length && !socket.destroyed; at += writeBytes) {
            if (!socket.write(chunks.slice(at, at + writeBytes))) {
                await Promise.race([once(socket, "drain"), once(socket, "close")]).catch(() => undefined);
            }
            await delay(answer.pauseMilliseconds);
        }
    }
    while (answer.isEndless && !socket.destroyed);
    socket.write("0\r\n\r\n");
}

// Guards against cuts that nobody has thought of.
for (let seed = 1; seed <= seeds; seed += 1) {
    test(`answers reach their callers byte for byte however they are cut, with seed ${seed}`, async context => {
        const [answers = []] = fc.sample(arbitraryAnswers, { seed, numRuns: 1 });
        const byIndex = new Map(answers.map((answer, index) => [`cut-${index}`, answer]));
        const answer: Answer = (socket, requestId) => {
            const found = byIndex.get(requestId);
            if (found !== undefined) {
                void send(socket, requestId, found);
            }
        };
        const site = await startObservedSite(context, bundled, answer);
        await Promise.all([...byIndex].map(async ([id, cut]) => {
            const { body, isComplete, status } = await callHost(site, { path: `/${cut.kind}/1`, id });
            if (cut.isEndless) {
                assert.ok(!isComplete || status !== 200, `${id}: an answer without end looks complete`);
                return;
            }
            const seen = `${id} ${JSON.stringify(cut)}: ${status ?? "none"}, ${body.length} bytes`;
            assert.ok(status === 200 && isComplete && body === render(cut).body, seen);
        }));
        site.assertHeld();
    });
}
