/**
 * Measures the latency that an entry host adds to a direct call of an upstream, and its processor time and memory.
 *
 * Run with `npm run measure`. The entry host runs in a separate process, the stand-ins in this one.
 *
 * @module
 */
import { build, type Histogram } from "hdr-histogram-js";
import { readFileSync } from "node:fs";
import { setTimeout as delay } from "node:timers/promises";
import { PlatformStoreStandIn } from "../standins/platform/store.js";
import { PlatformUpstreamStandIn } from "../standins/platform/upstream.js";
import { createEntrySettings, startEntryProgram } from "../tests/support/entryProgram.js";
import { closeConnections, CONCURRENCY, CONFIGURATION, processorTimeOf, sendMany, timeRequest } from "./_entryLoad.js";

const PAIRS = 1_000;
const WARM_UP_PAIRS = 300;
const REQUESTS = 6_000;
const STREAMS = 600;
const EVENTS = 50;
const IDLE_MILLISECONDS = 3_000;
const MICROSECONDS_IN_MILLISECOND = 1_000;

/** Measures the latency added to calls, in pairs of alternating order so that the order does not bias the result. */
async function timePairs(direct: string, through: string, path: string): Promise<Histogram> {
    const addedMicroseconds = build({ numberOfSignificantValueDigits: 3 });
    for (let pair = 0; pair < PAIRS + WARM_UP_PAIRS; pair += 1) {
        const directFirst = pair % 2 === 0;
        const first = await timeRequest(directFirst ? direct : through, path);
        const second = await timeRequest(directFirst ? through : direct, path);
        const difference = directFirst ? second - first : first - second;
        if (pair >= WARM_UP_PAIRS) {
            addedMicroseconds.recordValue(Math.max(0, Math.round(difference * MICROSECONDS_IN_MILLISECOND)));
        }
    }
    return addedMicroseconds;
}

/** Reads a memory size from `/proc/PID/status`, in MB. */
function megabytes(pid: number, name: "VmRSS" | "VmHWM"): number {
    const line = readFileSync(`/proc/${pid}/status`, "utf8").split("\n").find(text => text.startsWith(name));
    return Math.round(Number(line?.match(/\d+/)?.[0]) / 1_024);
}

function describe(addedMicroseconds: Histogram): string {
    const at = (percentile: number): string =>
        (addedMicroseconds.getValueAtPercentile(percentile) / MICROSECONDS_IN_MILLISECOND).toFixed(2);
    return `median ${at(50)} ms, 99th ${at(99)} ms`;
}

const store = await PlatformStoreStandIn.start();
const plain = await PlatformUpstreamStandIn.start({ id: "i-plain", behave: () => ({ type: "answer" }), slots: 64 });
const streams = await PlatformUpstreamStandIn.start({
    id: "i-streams",
    behave: () => ({ type: "stream", events: EVENTS, gapMilliseconds: 2 }),
    slots: 64,
});
store.put("servers/i-plain", plain.announcement("plain"));
store.put("servers/i-streams", streams.announcement("streams"));
store.put("op/config", CONFIGURATION);
const settings = await createEntrySettings(store.address);
const program = startEntryProgram(settings.text, ["dist/platform/main.js"]);
const pid = program.child.pid ?? 0;
const through = `127.0.0.1:${settings.callers}`;
await delay(IDLE_MILLISECONDS);
console.log(`memory at rest: ${megabytes(pid, "VmRSS")} MB`);
console.log(`processor time at rest: ${await processorTimeOf(pid, () => delay(IDLE_MILLISECONDS)) / 3} ms a second`);
console.log(`added to a read, ${PAIRS} pairs: ${describe(await timePairs(plain.address, through, "/reads/1"))}`);
const reads = await processorTimeOf(pid, () => sendMany(through, "/reads/1", REQUESTS));
console.log(`reads, ${CONCURRENCY} at once: ${(reads / REQUESTS * 1_000).toFixed(0)} ms of processor time per 1,000`);
const streamed = await processorTimeOf(pid, () => sendMany(through, "/streams/1", STREAMS));
const perEvents = streamed / (STREAMS * EVENTS) * 10_000;
console.log(`streams of ${EVENTS} events, ${CONCURRENCY} at once: ${perEvents.toFixed(0)} ms per 10,000 events`);
console.log(`memory at its peak: ${megabytes(pid, "VmHWM")} MB`);
closeConnections();
await program.close();
await Promise.all([plain.close(), streams.close(), store.close()]);
