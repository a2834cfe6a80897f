/**
 * Measures the latency that a host adds to a direct call of an engine, and the throughput of one host.
 *
 * Run with `npm run build && node dist/measurements/path.js`.
 *
 * @module
 */
import { build } from "hdr-histogram-js";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { Agent, request, setGlobalDispatcher } from "undici";
import { applyConfiguration, type Site, startSite, waitUntil } from "../demo/sites.js";
import { BYTES_IN_MEGABYTE, readFigures } from "./processFigures.js";

const PAIRS = 300;
const WARM_UP_PAIRS = 100;
const THROUGHPUT_REQUESTS = 6000;
const THROUGHPUT_CONCURRENCY = 48;
const ANSWER_TOKENS = 8;
const MICROSECONDS_IN_MILLISECOND = 1000;
const PROJECT_FOLDER = fileURLToPath(new URL("../..", import.meta.url));

interface Timing {
    readonly firstTokenMilliseconds: number;
    readonly completeMilliseconds: number;
}

function chatBody(text: string): string {
    return JSON.stringify({
        model: "quotes",
        messages: [{ role: "user", content: text }],
        stream: true,
        max_tokens: ANSWER_TOKENS,
    });
}

async function timeRequest(url: string, text: string): Promise<Timing> {
    const startedAt = performance.now();
    const answer = await request(`${url}/v1/chat/completions`, {
        method: "POST",
        headers: { "content-type": "application/json", "x-request-id": text },
        body: chatBody(text),
    });
    let firstTokenMilliseconds: number | undefined;
    let received = "";
    for await (const part of answer.body) {
        firstTokenMilliseconds ??= performance.now() - startedAt;
        received += String(part);
    }
    if (!received.includes("[DONE]")) {
        throw new Error(`answer ended without [DONE]: ${received.slice(0, 200)}`);
    }
    return { firstTokenMilliseconds: firstTokenMilliseconds ?? 0, completeMilliseconds: performance.now() - startedAt };
}

function createSeries() {
    const histogram = build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: 60_000_000,
        numberOfSignificantValueDigits: 3,
    });
    return {
        add: (milliseconds: number) => histogram.recordValue(Math.round(milliseconds * MICROSECONDS_IN_MILLISECOND)),
        at: (percentile: number) => histogram.getValueAtPercentile(percentile) / MICROSECONDS_IN_MILLISECOND,
    };
}

async function measureAddedLatency(hostUrl: string, engineUrl: string): Promise<void> {
    const series = {
        direct: createSeries(),
        through: createSeries(),
        directComplete: createSeries(),
        throughComplete: createSeries(),
    };
    for (let pair = 0; pair < WARM_UP_PAIRS + PAIRS; pair += 1) {
        const direct = await timeRequest(engineUrl, `direct-${pair}`);
        const through = await timeRequest(hostUrl, `through-${pair}`);
        if (pair >= WARM_UP_PAIRS) {
            series.direct.add(direct.firstTokenMilliseconds);
            series.directComplete.add(direct.completeMilliseconds);
            series.through.add(through.firstTokenMilliseconds);
            series.throughComplete.add(through.completeMilliseconds);
        }
    }
    console.log("| | direct (ms) | through a host (ms) | added (ms) | ratio |\n|---|---|---|---|---|");
    const rows = [
        ["first token, median", series.direct.at(50), series.through.at(50)],
        ["first token, 99th of 100", series.direct.at(99), series.through.at(99)],
        ["whole answer, median", series.directComplete.at(50), series.throughComplete.at(50)],
        ["whole answer, 99th of 100", series.directComplete.at(99), series.throughComplete.at(99)],
    ] as const;
    for (const [name, direct, through] of rows) {
        console.log(
            `| ${name} | ${direct.toFixed(2)} | ${through.toFixed(2)} | ${(through - direct).toFixed(2)} | ${
                (through / direct).toFixed(2)
            } |`,
        );
    }
}

async function measureThroughput(hostUrl: string): Promise<void> {
    const before = await readFigures(hostUrl);
    const startedAt = performance.now();
    let next = 0;
    let highestHeap = 0;
    await Promise.all(Array.from({ length: THROUGHPUT_CONCURRENCY }, async () => {
        while (next < THROUGHPUT_REQUESTS) {
            next += 1;
            await timeRequest(hostUrl, `load-${next}`);
            if (next % 500 === 0) {
                highestHeap = Math.max(highestHeap, (await readFigures(hostUrl)).heapBytes);
            }
        }
    }));
    const seconds = (performance.now() - startedAt) / 1000;
    const after = await readFigures(hostUrl);
    const processorSeconds = (after.processorMicroseconds - before.processorMicroseconds) / 1_000_000;
    console.log(
        `\n${THROUGHPUT_REQUESTS} streamed answers of ${ANSWER_TOKENS} tokens, ${THROUGHPUT_CONCURRENCY} at a time:`,
    );
    console.log(
        `- ${(THROUGHPUT_REQUESTS / seconds).toFixed(0)} requests a second; ${
            (THROUGHPUT_REQUESTS / processorSeconds).toFixed(0)
        } a second of the host's processor time`,
    );
    console.log(
        `- heap under load up to ${(highestHeap / BYTES_IN_MEGABYTE).toFixed(0)} MB, resident ${
            (after.residentBytes / BYTES_IN_MEGABYTE).toFixed(0)
        } MB`,
    );
}

async function prepare(): Promise<Site> {
    const site = await startSite({
        template: join(PROJECT_FOLDER, "measurements", "path.template.jsonc"),
        engines: [{
            name: "engine-1",
            options: { slots: 512, firstTokenMilliseconds: 0, tokenMilliseconds: 0, memoryMegabytes: 80_000 },
        }],
        plainServices: [],
        hosts: [{ name: "entry-1", zone: "west-1" }],
        region: "west",
        weightStore: { loadsPerSecond: 20, concurrentLoads: 7 },
        settings: { log: { level: "error" } },
    });
    await applyConfiguration(site);
    return site;
}

async function runMeasurement(): Promise<void> {
    setGlobalDispatcher(new Agent({ connections: THROUGHPUT_CONCURRENCY + 8 }));
    const site = await prepare();
    try {
        const hostUrl = site.hosts[0]?.callersUrl ?? "";
        const engineUrl = site.engines.get("engine-1")?.url ?? "";
        await waitUntil(() => timeRequest(hostUrl, "ready").then(() => true, () => false), "the model answers");
        await measureAddedLatency(hostUrl, engineUrl);
        await measureThroughput(hostUrl);
    }
    finally {
        await site.close();
    }
}

await runMeasurement();
