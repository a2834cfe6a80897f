/**
 * Starts a small site of real processes for tests, and sends it requests over HTTP as callers do.
 *
 * @module
 */
import { readFile, writeFile } from "node:fs/promises";
import { fileURLToPath } from "node:url";
import { request } from "undici";
import { killRunning, startProcess } from "../demo/processes.js";
import { type HostProcess, type Site, type StandInProcess, startSite, waitUntil } from "../demo/sites.js";
import { type AddressesAnswer, type Refusal } from "../src/generated/callers.js";
import { type EngineState, expectedTokens } from "../standins/engine.js";
import { type PlainServiceState } from "../standins/plainService.js";
import { type Relay, startRelay } from "./_relay.js";

const TEMPLATE = fileURLToPath(new URL("site.template.jsonc", import.meta.url));
const ENGINES = ["engine-1", "engine-2", "engine-3"];
const MODELS = ["quotes", "captions"];

/** A site whose engine-1 is reached through a relay. */
export interface TestSite extends Site {
    readonly relay: Relay;
}

/** Options of a test site. */
export interface TestSiteOptions {
    /** Options of each engine stand-in. */
    readonly engine?: Readonly<Record<string, unknown>>;
    /** Options of the plain service stand-in. */
    readonly plain?: Readonly<Record<string, unknown>>;
    /** Edits the operators' configuration before it is applied. */
    readonly editConfiguration?: (text: string) => string;
    /** Settings of each host. */
    readonly settings?: Readonly<Record<string, unknown>>;
}

/** Outcome of a chat request as its caller received it. */
export interface ChatOutcome {
    readonly status: number;
    readonly text: string;
    /** True if the stream ended with its end marker. */
    readonly isComplete: boolean;
    readonly refusal: Refusal | undefined;
}

/** Starts three hosts, three engines of one pool and a plain service, and waits until all hosts serve all models. */
export function startTestSite(options: TestSiteOptions = {}): Promise<TestSite> {
    return startAndConfigure(options).catch((error: unknown) => {
        killRunning();
        throw error;
    });
}

async function startAndConfigure(options: TestSiteOptions): Promise<TestSite> {
    const engine = { memoryMegabytes: 1000, slots: 8, checksFencing: true, ...options.engine };
    const site = await startSite({
        template: TEMPLATE,
        engines: ENGINES.map(name => ({ name, options: engine })),
        plainServices: [{ name: "line", options: options.plain ?? {} }],
        hosts: [1, 2, 3].map(index => ({ name: `host-${index}`, zone: `zone-${index}` })),
        region: "test",
        weightStore: { loadsPerSecond: 50, concurrentLoads: 7, modelMilliseconds: 20 },
        settings: { addressKeepMilliseconds: 1000, ...options.settings },
    });
    const engineUrl = site.engines.get("engine-1")?.url ?? "";
    const relay = await startRelay(engineUrl);
    const text = await readFile(site.configurationFile, "utf8");
    const { editConfiguration = (unchanged: string) => unchanged } = options;
    await writeFile(site.configurationFile, editConfiguration(text.replaceAll(engineUrl, relay.url)));
    await apply(site);
    await waitForModels(site.hosts);
    const close = async () => {
        await site.close();
        await relay.close();
    };
    return { ...site, relay, close };
}

/** Runs the command `apply`; returns its exit code and its output on standard error. */
export async function apply(site: Site, ...options: string[]): Promise<{ code: number | string; output: string; }> {
    const command = startProcess("apply", {
        file: "bin/flamingospread",
        arguments: ["apply", site.configurationFile, "--store", site.keyValue.url, ...options],
    });
    const code = await command.ended;
    return { code, output: command.errorLines.join("\n") };
}

/** Waits until every host completes a request for every model. */
export async function waitForModels(hosts: readonly HostProcess[]): Promise<void> {
    for (const { callersUrl } of hosts) {
        for (const model of MODELS) {
            await waitUntil(
                async () => (await chat(callersUrl, { model, prompt: "ready?" })).isComplete,
                `${model} is served at ${callersUrl}`,
            );
        }
    }
}

/** Options of one chat request. */
export interface ChatOptions {
    readonly model?: string;
    readonly prompt: string;
    readonly tokens?: number;
    readonly class?: "urgent" | "patient";
    /** Number of tokens that the caller received in an earlier stream. */
    readonly resumeAt?: number;
    readonly onText?: (text: string) => void;
}

function createBody(options: ChatOptions) {
    return {
        model: options.model ?? "quotes",
        messages: [{ role: "user" as const, content: options.prompt }],
        max_tokens: options.tokens ?? 8,
        stream: true,
        service_tier: options.class ?? "urgent",
        ...(options.resumeAt === undefined ? {} : { resume_offset: options.resumeAt }),
    };
}

/** Returns the complete answer to a request, or the remainder for a resumed request. */
export function expectedText(options: ChatOptions): string {
    return expectedTokens(createBody(options)).slice(options.resumeAt ?? 0).join("");
}

function readStreamedText(stream: string): string {
    const events = stream.split("\n").filter(line => line.startsWith("data: {"));
    return events.map(line => {
        const chunk = JSON.parse(line.slice("data: ".length)) as { choices?: { delta?: { content?: string; }; }[]; };
        return chunk.choices?.[0]?.delta?.content ?? "";
    }).join("");
}

/** Sends a chat request and reads its stream to the end; if the connection breaks, returns the text received before. */
export async function chat(hostUrl: string, options: ChatOptions): Promise<ChatOutcome> {
    const answer = await request(`${hostUrl}/v1/chat/completions`, {
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify(createBody(options)),
    });
    let stream = "";
    try {
        for await (const part of answer.body as AsyncIterable<Buffer>) {
            stream += part.toString("utf8");
            options.onText?.(stream);
        }
    }
    catch {
        // The connection broke: the stream lacks its end marker.
    }
    const refusalText = answer.statusCode === 200
        ? stream.split("\n").find(line => line.startsWith("data: {\"error\""))?.slice("data: ".length)
        : stream;
    return {
        status: answer.statusCode,
        text: readStreamedText(stream),
        isComplete: stream.includes("data: [DONE]"),
        refusal: refusalText === undefined ? undefined : (JSON.parse(refusalText) as { error: Refusal; }).error,
    };
}

/** Outcome of an order as its caller received it. */
export interface OrderOutcome {
    readonly status: number;
    readonly body: string;
    readonly refusal: Refusal | undefined;
}

/** Sends an order; returns status 0 if the connection ends without an answer. */
export async function order(hostUrl: string, key: string, body = "{}"): Promise<OrderOutcome> {
    try {
        const answer = await request(`${hostUrl}/v1/services/line/cut`, {
            method: "POST",
            headers: { "content-type": "application/json", "idempotency-key": key },
            body,
        });
        const text = await answer.body.text();
        const refusal = answer.statusCode === 200 ? undefined : (JSON.parse(text) as { error: Refusal; }).error;
        return { status: answer.statusCode, body: text, refusal };
    }
    catch {
        return { status: 0, body: "", refusal: undefined };
    }
}

/** Fetches the addresses that a host returns to callers. */
export async function fetchAddresses(hostUrl: string): Promise<AddressesAnswer> {
    const answer = await request(`${hostUrl}/v1/addresses`);
    return await answer.body.json() as AddressesAnswer;
}

/** Sets the faults that a stand-in injects. */
export async function setFaults(standIn: StandInProcess, faults: Readonly<Record<string, unknown>>): Promise<void> {
    await request(`${standIn.url}/standin/faults`, { method: "POST", body: JSON.stringify(faults) });
}

/** Reads an engine stand-in's recorded state. */
export async function readEngine(standIn: StandInProcess): Promise<EngineState> {
    const answer = await request(`${standIn.url}/standin/state`);
    return await answer.body.json() as EngineState;
}

/** Reads the plain service stand-in's recorded state. */
export async function readPlain(site: Site): Promise<PlainServiceState> {
    const answer = await request(`${site.plainServices.get("line")?.url ?? ""}/standin/state`);
    return await answer.body.json() as PlainServiceState;
}

/** Returns whether a process is still running, frozen ones included. */
function isRunning({ process }: StandInProcess): boolean {
    return process.child.exitCode === null && process.child.signalCode === null;
}

/** Waits until an engine runs a request and returns its name. */
export async function findRunning(site: Site): Promise<string> {
    let found: string | undefined;
    await waitUntil(async () => {
        for (const [name, standIn] of site.engines) {
            if (isRunning(standIn) && (await readEngine(standIn)).running > 0) {
                found = name;
            }
        }
        return found !== undefined;
    }, "an engine runs a request");
    return found ?? "";
}
