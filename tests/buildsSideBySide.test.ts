/**
 * Hosts of this build and of earlier ones in one fleet. The latter are hosts whose link is limited to what a kept schema
 * reads and writes (`tests/builds/`).
 *
 * @module
 */
import assert from "node:assert/strict";
import { describe, test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { type GossipMessage, openGossipLink } from "../src/gossip/index.js";
import { callAuxiliaryServer, callHost, engineSettings, EntrySite, type SiteHost, until } from "./support/entrySite.js";
import { KEPT_BUILDS, type KeptBuild, openKeptLink } from "./support/keptBuilds.js";
import { findWorstWindow, type LimitArrival } from "./support/limitRule.js";

const FLEETS_AT_ONCE = 2;
const HOSTS_OF_EACH_BUILD = 3;
const HOSTS = 2 * HOSTS_OF_EACH_BUILD;

/** All hosts have heard each other within this time. */
const NAMED_MILLISECONDS = 4_000;

/** Hosts have agreed on who issues permits. */
const SETTLED_MILLISECONDS = 2_000;

const LIMIT_PER_SECOND = 4;
const LOAD_MILLISECONDS = 8_000;
const REQUESTS_PER_SECOND = 40;

/** Requests under this path are lost with their connection. */
const CRASHING_PATH = "/llm/crash/";

const MODEL_HEADERS = { "Flamingospread-Model": "quotes" };

/** News of crashes and streams is told within this time. */
const NEWS_MILLISECONDS = 2_500;

/** A host of the test's fleet, and the messages that it has received. */
interface ObservedHost {
    readonly host: SiteHost;
    readonly received: GossipMessage[];
}

/** A fleet of hosts of two builds. */
interface MixedFleet {
    readonly site: EntrySite;
    readonly present: readonly ObservedHost[];
    readonly old: readonly ObservedHost[];
    readonly arrivals: LimitArrival[];
    readonly toldAtMilliseconds: Map<string, number>;
}

async function addObservedHost(site: EntrySite, name: string, kept?: KeptBuild): Promise<ObservedHost> {
    const received: GossipMessage[] = [];
    const openLink: typeof openGossipLink = options => {
        const onMessage = (message: GossipMessage): void => {
            received.push(message);
            options.onMessage(message);
        };
        const observed = { ...options, onMessage };
        return kept === undefined ? openGossipLink(observed) : openKeptLink(kept, observed);
    };
    return { host: await site.addHost(name, { openLink }), received };
}

async function addUpstreams(site: EntrySite, { arrivals, toldAtMilliseconds }: MixedFleet): Promise<void> {
    const limited = await site.addUpstream({
        id: "i-limited",
        slots: 100,
        behave: ({ id }) => {
            const host = id.split("/")[0] ?? "";
            const atMilliseconds = performance.now();
            arrivals.push({ host, atMilliseconds });
            toldAtMilliseconds.set(host, toldAtMilliseconds.get(host) ?? atMilliseconds);
            return { type: "answer" };
        },
    });
    limited.limit = String(LIMIT_PER_SECOND);
    for (const softwareVersion of ["v1", "v2"]) {
        await site.addUpstream({
            id: `i-engine-${softwareVersion}`,
            softwareVersion,
            models: { quotes: [] },
            slots: 50,
            behave: ({ path }) =>
                path.startsWith(CRASHING_PATH)
                    ? { type: "reset" }
                    : { type: "stream", events: 20, gapMilliseconds: 25 },
        }, "llm");
    }
}

async function startFleet(context: TestContext, kept: KeptBuild): Promise<MixedFleet> {
    const site = await EntrySite.start();
    context.after(() => site.close());
    site.configure([
        { pathPrefix: "/reads/", timeoutMs: 4_000 },
        { pathPrefix: "/llm/", kind: "stream", service: "llm", resumable: true, timeoutMs: 8_000 },
    ], engineSettings(2, { quotes: 4 }));
    const old: ObservedHost[] = [];
    const present: ObservedHost[] = [];
    const fleet = { site, old, present, arrivals: [], toldAtMilliseconds: new Map<string, number>() };
    await addUpstreams(site, fleet);
    for (let index = 0; index < HOSTS_OF_EACH_BUILD; index += 1) {
        old.push(await addObservedHost(site, `old-${index}`, kept));
        present.push(await addObservedHost(site, `present-${index}`));
    }
    return fleet;
}

async function countNamed({ host }: ObservedHost): Promise<number> {
    const { body, status } = await callAuxiliaryServer(
        host.settings.directory,
        "/resolve?name=site.example&region=r&zone=zone-a",
    );
    return status === 200 ? (JSON.parse(body) as { readonly addresses: readonly string[]; }).addresses.length : 0;
}

async function assertAllNamed(hosts: readonly ObservedHost[]): Promise<void> {
    const isNamed = async (): Promise<boolean> => (await Promise.all(hosts.map(countNamed))).every(n => n === HOSTS);
    await until(isNamed, NAMED_MILLISECONDS).catch(() => undefined);
    const named = await Promise.all(hosts.map(async host => `${host.host.name}: ${await countNamed(host)}`));
    assert.ok(await isNamed(), `hosts that each names to callers: ${named.join(", ")}`);
}

/** Returns the planner that a host last turned to. */
function plannerOf({ host }: ObservedHost): unknown {
    return host.lines.findLast(({ message }) => message === "planner changed")?.fields["planner"];
}

async function offerLoad(hosts: readonly ObservedHost[]): Promise<void> {
    const answers: Promise<unknown>[] = [];
    const end = performance.now() + LOAD_MILLISECONDS;
    for (let count = 0; performance.now() < end; count += 1) {
        const { host } = hosts[count % hosts.length] ?? {};
        if (host !== undefined) {
            answers.push(callHost(host, { path: "/reads/1", id: `${host.name}/${count}` }));
        }
        await delay(1_000 / REQUESTS_PER_SECOND);
    }
    await Promise.all(answers);
}

function hasReceived(
    hosts: readonly ObservedHost[],
    from: string,
    isWanted: (message: GossipMessage) => boolean,
): boolean {
    return hosts.some(({ received }) =>
        received.some(message => "host" in message && message.host.startsWith(from) && isWanted(message))
    );
}

function hasCrashEvidence(message: GossipMessage): boolean {
    return message.type === "digest" && (message.crashes?.suspects.length ?? 0) > 0;
}

function hasBuild(message: GossipMessage): boolean {
    return message.type === "digest" && message.build !== undefined;
}

function isStreamsBegun({ type }: GossipMessage): boolean {
    return type === "streams-begun";
}

/** Returns the part of the prompt that only the crashing request of a host has. */
function crashingPartOf({ host }: ObservedHost): string {
    return `part-${host.name}`;
}

/** Sends each host a request of its own that is lost, while no answer shows that the engines live on. */
function sendCrashingRequests(hosts: readonly ObservedHost[]): void {
    for (const observed of hosts) {
        const part = crashingPartOf(observed);
        const headers = { ...MODEL_HEADERS, "Flamingospread-Prompt-Prefix": `${part},last` };
        void callHost(observed.host, { path: CRASHING_PATH + part, method: "POST", headers });
    }
}

function hasEvidenceOf(receiver: ObservedHost, sender: ObservedHost): boolean {
    const part = crashingPartOf(sender);
    return hasReceived(
        [receiver],
        sender.host.name,
        message =>
            message.type === "digest"
            && message.crashes?.suspects.some(({ parts }) => parts.includes(part)) === true,
    );
}

/** Returns the pairs of hosts of which the first one has not heard of the request that the other one lost. */
function listMissingEvidence(receivers: readonly ObservedHost[], senders: readonly ObservedHost[]): string[] {
    return receivers.flatMap(receiver =>
        senders.filter(sender => sender !== receiver && !hasEvidenceOf(receiver, sender))
            .map(sender => `${receiver.host.name} of ${sender.host.name}`)
    );
}

async function assertEvidenceHeard(
    receivers: readonly ObservedHost[],
    senders: readonly ObservedHost[],
): Promise<void> {
    const isHeard = (): boolean => listMissingEvidence(receivers, senders).length === 0;
    await until(isHeard, NEWS_MILLISECONDS).catch(() => undefined);
    assert.deepEqual(listMissingEvidence(receivers, senders), [], "hosts that have not heard of others' crashes");
}

async function sendStreams(hosts: readonly ObservedHost[]): Promise<void> {
    for (const { host } of hosts) {
        for (let count = 0; count < HOSTS; count += 1) {
            void callHost(host, { path: "/llm/1", method: "POST", headers: MODEL_HEADERS });
        }
    }
    await delay(NEWS_MILLISECONDS);
}

describe("hosts of two builds", { concurrency: FLEETS_AT_ONCE }, () => {
    for (const kept of KEPT_BUILDS) {
        test(`three hosts of ${kept.commit} and three of this build are one fleet`, async context => {
            const fleet = await startFleet(context, kept);
            const { arrivals, old, present, toldAtMilliseconds } = fleet;
            const hosts = [...old, ...present];
            await assertAllNamed(hosts);
            await delay(SETTLED_MILLISECONDS);
            const planners = new Set(hosts.map(plannerOf));
            assert.equal(planners.size, 1, `planners: ${[...planners].join(", ")}`);
            await offerLoad(hosts);
            const namedAt = arrivals[0]?.atMilliseconds ?? 0;
            const steps = [{ atMilliseconds: namedAt, requestsPerSecond: LIMIT_PER_SECOND }];
            const worst = findWorstWindow({ steps, arrivals, toldAtMilliseconds });
            assert.ok(worst.requests <= worst.allowed, `${worst.requests} requests where ${worst.allowed} are allowed`);
            assert.ok(arrivals.length > LIMIT_PER_SECOND, "the limit is used");
            const reads = (field: string): boolean => Object.hasOwn(kept.examples.messages["digest"] ?? {}, field);
            const readers = reads("crashes") ? hosts : present;
            sendCrashingRequests(hosts);
            await assertEvidenceHeard(readers, readers);
            await sendStreams(hosts);
            const knowsStreams = kept.schema.messageTypes.has("streams-begun");
            assert.equal(
                hasReceived(old, "present", hasCrashEvidence),
                reads("crashes"),
                "crash evidence to old hosts",
            );
            assert.equal(
                hasReceived(present, "old", hasCrashEvidence),
                reads("crashes"),
                "crash evidence of old hosts",
            );
            assert.equal(hasReceived(old, "present", isStreamsBegun), knowsStreams, "streams begun at new hosts");
            assert.equal(hasReceived(present, "old", isStreamsBegun), knowsStreams, "streams begun at old hosts");
            assert.ok(hasReceived(present, "present", hasBuild), "hosts of this build tell each other theirs");
            assert.equal(hasReceived(old, "present", hasBuild), reads("build"), "builds to old hosts");
            await assertAllNamed(hosts);
        });
    }
});
