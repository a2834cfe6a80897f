/**
 * Records traces of a site of real processes under faults into `tests/traces/`.
 *
 * Run with `npm run build && node dist/scripts/recordTraces.js`. A new recording replaces the trace of the same
 * name. The outcomes that a trace states are defined in this file.
 *
 * @module
 */
import { mkdir, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { readAddresses, sendCall, sendChat } from "../demo/load.js";
import { applyConfiguration, type HostProcess, type Site, startSite, waitUntil } from "../demo/sites.js";
import { renderTrace, type StatedOutcome, type TraceEntry } from "../src/trace/index.js";
import { CRASH_MARKER } from "../standins/engine.js";

const PROJECT_FOLDER = fileURLToPath(new URL("../..", import.meta.url));
const TRACE_FOLDER = join(PROJECT_FOLDER, "tests", "traces");
const SETTLING_MILLISECONDS = 4000;

interface TraceLine {
    readonly trace?: string;
    readonly options?: string;
    readonly entry?: string;
}

interface Recording {
    readonly file: string;
    readonly decision: string;
    readonly outcomes: readonly StatedOutcome[];
}

function wait(milliseconds: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, milliseconds));
}

function readTraceLines(host: HostProcess, decision: string): TraceLine[] {
    const parsed = host.process.errorLines.filter(line => line.includes("\"trace\"")).map(line =>
        JSON.parse(line) as TraceLine
    );
    return parsed.filter(({ trace }) => trace === decision);
}

/** Drops each tick between two other ticks, as the stated outcomes do not depend on it. */
function dropRedundantTicks(entries: readonly TraceEntry[]): TraceEntry[] {
    const isTick = (entry: TraceEntry | undefined) => entry?.message.type === "tick";
    return entries.filter((entry, index) =>
        !isTick(entry) || !isTick(entries[index - 1]) || !isTick(entries[index + 1])
    );
}

async function writeTrace(host: HostProcess, recording: Recording): Promise<void> {
    const lines = readTraceLines(host, recording.decision);
    const options = JSON.parse(lines.find(line => line.options !== undefined)?.options ?? "{}") as Record<
        string,
        unknown
    >;
    const entries = lines.flatMap(({ entry }) => entry === undefined ? [] : [JSON.parse(entry) as TraceEntry]);
    const header = { decision: recording.decision, options, outcomes: [...recording.outcomes] };
    const text = renderTrace({ header, entries: dropRedundantTicks(entries) });
    await writeFile(join(TRACE_FOLDER, recording.file), text);
    console.log(`${recording.file}: ${entries.length} messages, ${text.length} bytes`);
}

async function startReadySite(): Promise<Site> {
    const engine = { memoryMegabytes: 40_000, slots: 8, loadMilliseconds: 50, tokenMilliseconds: 20 };
    const site = await startSite({
        template: join(PROJECT_FOLDER, "demo", "demo.template.jsonc"),
        engines: [
            ...[1, 2, 3].map(index => ({ name: `bag-llm-${index}`, options: { ...engine, checksFencing: true } })),
            ...[1, 2].map(index => ({
                name: `mill-ops-${index}`,
                options: { ...engine, memoryMegabytes: 30_000, checksFencing: false },
            })),
        ],
        plainServices: [{ name: "cutting-line", options: { runMilliseconds: 1000 } }],
        hosts: [{ name: "entry-1", zone: "west-1" }, { name: "entry-2", zone: "west-2" }, {
            name: "entry-3",
            zone: "west-3",
        }],
        region: "west",
        weightStore: { loadsPerSecond: 50, concurrentLoads: 7 },
        settings: { addressKeepMilliseconds: 1000, log: { level: "info", trace: ["orders", "requests"] } },
    });
    await applyConfiguration(site);
    await waitUntil(async () => {
        const answer = await sendChat(site.hosts[0]?.callersUrl ?? "", {
            model: "stock-helper",
            class: "urgent",
            prompt: "ready?",
        });
        return answer.outcome === "answered";
    }, "the model answers");
    await wait(SETTLING_MILLISECONDS);
    return site;
}

function hostAt(site: Site, index: number): HostProcess {
    const host = site.hosts[index];
    if (host === undefined) {
        throw new Error(`no host ${index}`);
    }
    return host;
}

/** Kills an owner while its order runs, then sends that order, and one that the owner never received, to another host. */
async function recordDeadOwner(site: Site): Promise<void> {
    const [owner, other] = [hostAt(site, 1), hostAt(site, 0)];
    const { addresses } = await readAddresses(other.callersUrl, "west-2");
    const ticket = addresses.find(({ url }) => url === owner.callersUrl)?.ticket ?? "";
    const order = { service: "cutting-line", call: "reel-cut", body: "{}" };
    const running = sendCall(owner.callersUrl, { ...order, key: `${ticket}/running` }).catch(() => undefined);
    await wait(300);
    owner.process.child.kill("SIGKILL");
    await running;
    await sendCall(other.callersUrl, { ...order, key: `${ticket}/running` });
    await sendCall(other.callersUrl, { ...order, key: `${ticket}/never-sent` });
    await writeTrace(other, {
        file: "order-owner-dies.jsonl",
        decision: "orders",
        outcomes: [
            {
                says: "no other host runs an order of the dead owner",
                effect: { type: "dispatch" },
                atLeast: 0,
                atMost: 0,
            },
            {
                says: "the order that was running may have run",
                effect: { type: "reply", outcome: { type: "refused", ran: "may-have-run" } },
                atLeast: 1,
                atMost: 1,
            },
            {
                says: "the order that was never sent is proved not to have run",
                effect: { type: "reply", outcome: { type: "refused", ran: "not-run" } },
                atLeast: 1,
                atMost: 1,
            },
        ],
    });
}

/** Sends a request that crashes its engine, and sends it again as the caller would. */
async function recordCrashingRequest(site: Site): Promise<void> {
    const host = hostAt(site, 2);
    const prompt = { model: "stock-helper", class: "urgent" as const, prompt: `please ${CRASH_MARKER}` };
    await sendChat(host.callersUrl, prompt);
    await sendChat(host.callersUrl, prompt);
    await writeTrace(host, {
        file: "request-crashes-engines.jsonl",
        decision: "requests",
        outcomes: [
            { says: "the request meets at most two engines", effect: { type: "dispatch" }, atLeast: 1, atMost: 2 },
            {
                says: "it is refused for good, also when it is sent again",
                effect: { type: "refuse", reason: "request-crashes-engines" },
                atLeast: 2,
                atMost: 2,
            },
        ],
    });
}

await mkdir(TRACE_FOLDER, { recursive: true });
const site = await startReadySite();
try {
    await recordCrashingRequest(site);
    await recordDeadOwner(site);
}
finally {
    await site.close();
}
