/**
 * Runs a small site and records an example of each message and record that its hosts write.
 *
 * `scripts/keepBuild.ts` runs this file in the sources of earlier builds too, so it uses only what those have.
 *
 * @module
 */
import { Socket } from "node:dgram";
import { request } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { callHost, engineSettings, EntrySite, requestAdapter, type SiteHost, waitUntilReady } from "./entrySite.js";

const HOSTS = ["entry-1", "entry-2", "entry-3"];
const ROUNDS = 24;
const ROUND_MILLISECONDS = 250;
const CRASHING_PATH = "/llm/crash";
const STATE_PATH = "/state";

/** Prefixes of the records that hosts write in the key-value service. */
const RECORD_PREFIXES = ["hosts/", "holders/", "restores", "streams/versions", "streams/begun/"];

type Json = Readonly<Record<string, unknown>>;

/** Examples of what the hosts of a build write. */
export interface RecordedExamples {
    /** By message type; the one with the most fields. */
    readonly messages: Readonly<Record<string, Json>>;
    /** By prefix of the key. */
    readonly records: Readonly<Record<string, unknown>>;
    /** The answer to a request for the shared state. */
    readonly state: unknown;
}

function countFields(value: unknown): number {
    if (typeof value !== "object" || value === null) {
        return 1;
    }
    return Object.values(value).reduce((total: number, part) => total + countFields(part), Object.keys(value).length);
}

/** Collects the datagrams that sockets of this process send, until closed. */
class DatagramCollector {
    readonly messages = new Map<string, Json>();
    readonly #send = Reflect.get(Socket.prototype, "send") as () => void;

    constructor() {
        const collect = (bytes: unknown): void => this.#collect(bytes);
        const send = this.#send;
        Socket.prototype.send = function(this: Socket, ...parameters: unknown[]): void {
            collect(parameters[0]);
            Reflect.apply(send, this, parameters);
        };
    }

    close(): void {
        Socket.prototype.send = this.#send;
    }

    #collect(bytes: unknown): void {
        if (!Buffer.isBuffer(bytes)) {
            return;
        }
        const message = JSON.parse(bytes.toString()) as Json;
        const type = String(message["type"]);
        if (countFields(message) > countFields(this.messages.get(type))) {
            this.messages.set(type, message);
        }
    }
}

async function fetchState(host: SiteHost): Promise<unknown> {
    const { address, port } = host.settings.state;
    return new Promise((resolve, reject) => {
        const call = request({ host: address, port, path: STATE_PATH, agent: false }, answer => {
            let body = "";
            answer.on("data", (piece: Buffer) => {
                body += piece.toString();
            });
            answer.on("end", () => resolve(JSON.parse(body)));
        });
        call.on("error", reject);
        call.end();
    });
}

async function addUpstreams(site: EntrySite): Promise<void> {
    const stream = { type: "stream", events: 4, gapMilliseconds: 20 } as const;
    await site.addUpstream({ id: "i-limited", behave: () => ({ type: "answer", headers: { "Server-Limit": "4" } }) });
    for (const version of ["v1", "v2"]) {
        const overrides = { version, softwareVersion: version };
        await site.addUpstream(
            {
                id: `i-engine-${version}`,
                models: { quotes: [], specs: [] },
                slots: 8,
                behave: ({ path }) => path === CRASHING_PATH ? { type: "reset" } : stream,
                softwareVersion: version,
            },
            "llm",
            overrides,
        );
    }
}

/** Sends requests of each kind, so that hosts have something to tell. */
async function sendRequests(hosts: readonly SiteHost[], round: number): Promise<void> {
    const headers = { "Flamingospread-Model": "quotes", "Flamingospread-Token-Count": "100,20" };
    for (const host of hosts) {
        void callHost(host, { path: "/reads/1" });
        void requestAdapter(host, `a${1 + round % 4}`);
        void callHost(host, { path: "/llm/1", method: "POST", headers });
        void callHost(host, { path: "/llm/other", method: "POST", headers: { "Flamingospread-Model": "drafts" } });
    }
    const [host] = hosts;
    if (host !== undefined) {
        const parts = { "Flamingospread-Prompt-Prefix": `p${round % 2},q${round}` };
        void callHost(host, { path: CRASHING_PATH, method: "POST", headers: { ...headers, ...parts } });
        void callHost(host, {
            path: "/llm/1",
            method: "POST",
            headers: { ...headers, "Resumes": "never-begun", "Last-Event-ID": "2" },
        });
    }
    await delay(ROUND_MILLISECONDS);
}

function readRecords(site: EntrySite): Readonly<Record<string, unknown>> {
    return Object.fromEntries(RECORD_PREFIXES.flatMap(prefix => {
        const [key] = site.store.keys(prefix);
        return key === undefined ? [] : [[prefix, JSON.parse(site.store.get(key) ?? "") as unknown]];
    }));
}

/** Runs a site of three hosts for some seconds and returns examples of what they wrote. */
export async function recordExamples(): Promise<RecordedExamples> {
    const collector = new DatagramCollector();
    const site = await EntrySite.start();
    try {
        site.configure([
            { pathPrefix: "/reads/" },
            { pathPrefix: "/llm/", kind: "stream", service: "llm", resumable: true },
        ], engineSettings(2, { quotes: 4, specs: 0, drafts: 0 }));
        await addUpstreams(site);
        const hosts = await Promise.all(HOSTS.map(name => site.addHost(name)));
        await Promise.all(hosts.map(host => waitUntilReady(host)));
        for (let round = 0; round < ROUNDS; round += 1) {
            await sendRequests(hosts, round);
        }
        const [first] = hosts;
        const state = first === undefined ? undefined : await fetchState(first);
        const records = readRecords(site);
        await first?.host.stop();
        return { messages: Object.fromEntries([...collector.messages].sort()), records, state };
    }
    finally {
        collector.close();
        await site.close();
    }
}

if (process.argv[1]?.endsWith("messageRecorder.ts") === true) {
    process.stdout.write(`${JSON.stringify(await recordExamples(), undefined, 4)}\n`);
}
