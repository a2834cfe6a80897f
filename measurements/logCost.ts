/**
 * Measures the processor time that logging costs an entry host. Two programs, one that writes every log line and one that
 * writes none, run the same load in alternating order.
 *
 * @module
 */
import { setTimeout as delay } from "node:timers/promises";
import { PlatformStoreStandIn } from "../standins/platform/store.js";
import { PlatformUpstreamStandIn } from "../standins/platform/upstream.js";
import { createEntrySettings, type EntryProgram, startEntryProgram } from "../tests/support/entryProgram.js";
import { closeConnections, CONFIGURATION, processorTimeOf, sendMany } from "./_entryLoad.js";

const ROUNDS = 30;
const WARM_UP_ROUNDS = 5;
const REQUESTS_PER_ROUND = 400;
const START_MILLISECONDS = 3_000;
const UNLIMITED_LINES_PER_SECOND = 1_000_000;

interface MeasuredProgram {
    readonly program: EntryProgram;
    readonly callers: string;
    processorMilliseconds: number;
}

async function startProgram(storeAddress: string, linesPerSecond: number): Promise<MeasuredProgram> {
    const settings = await createEntrySettings(storeAddress);
    const program = startEntryProgram(settings.text, ["dist/platform/main.js"], {
        FLAMINGOSPREAD_LOG_LINES_PER_SECOND: String(linesPerSecond),
    });
    return { program, callers: `127.0.0.1:${settings.callers}`, processorMilliseconds: 0 };
}

async function runRound(measured: MeasuredProgram, isMeasured: boolean): Promise<void> {
    const work = (): Promise<void> => sendMany(measured.callers, "/reads/1", REQUESTS_PER_ROUND);
    const spent = await processorTimeOf(measured.program.child.pid ?? 0, work);
    measured.processorMilliseconds += isMeasured ? spent : 0;
}

const stores = await Promise.all([PlatformStoreStandIn.start(), PlatformStoreStandIn.start()]);
const plain = await PlatformUpstreamStandIn.start({ id: "i-plain", behave: () => ({ type: "answer" }), slots: 64 });
for (const store of stores) {
    store.put("servers/i-plain", plain.announcement("plain"));
    store.put("op/config", CONFIGURATION);
}
const withoutLogs = await startProgram(stores[0].address, 0);
const withLogs = await startProgram(stores[1].address, UNLIMITED_LINES_PER_SECOND);
await delay(START_MILLISECONDS);
for (let round = 0; round < ROUNDS + WARM_UP_ROUNDS; round += 1) {
    const order = round % 2 === 0 ? [withoutLogs, withLogs] : [withLogs, withoutLogs];
    for (const measured of order) {
        await runRound(measured, round >= WARM_UP_ROUNDS);
    }
}
const perRequest = ({ processorMilliseconds }: MeasuredProgram): number =>
    processorMilliseconds * 1_000 / (ROUNDS * REQUESTS_PER_ROUND);
const [microsecondsWithoutLogs, microsecondsWithLogs] = [perRequest(withoutLogs), perRequest(withLogs)];
console.log(
    `processor time a read: ${microsecondsWithoutLogs.toFixed(0)} µs without logs, ${
        microsecondsWithLogs.toFixed(0)
    } µs with`,
);
console.log(
    `logs cost ${((microsecondsWithLogs / microsecondsWithoutLogs - 1) * 100).toFixed(1)} % (${
        ROUNDS * REQUESTS_PER_ROUND
    } reads each)`,
);
closeConnections();
await Promise.all([withoutLogs.program.close(), withLogs.program.close()]);
await Promise.all([plain.close(), ...stores.map(store => store.close())]);
