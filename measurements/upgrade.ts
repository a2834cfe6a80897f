/**
 * Plays an upgrade and its rollback with real processes: hosts of an earlier commit are replaced one after the other by
 * hosts of this build, or of a given later commit, and back. In each phase the configuration changes, and an engine is lost
 * or replaced by one of a later software version, while callers send requests, some of them for adapters, and resume
 * streams. Prints what callers saw in each phase, for each of the seeds.
 *
 * `npx tsx measurements/upgrade.ts COMMIT [SEED,SEED...] [LATER_COMMIT]`
 *
 * @module
 */
import { execFileSync } from "node:child_process";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { checkOutBuild } from "../scripts/_buildOfCommit.js";
import { createSeededRandom, type RandomSource } from "../src/decision/index.js";
import {
    createEntrySettings,
    type EntryProgram,
    type EntryProgramSettings,
    startEntryProgram,
    waitUntilProgramReady,
} from "../tests/support/entryProgram.js";
import {
    callAuxiliaryServer,
    type CallerAnswer,
    type CallerRequest,
    callHost,
    engineSettings,
    EntrySite,
} from "../tests/support/entrySite.js";
import { findWorstWindow, type LimitArrival } from "../tests/support/limitRule.js";
import { callResuming } from "./_resumingCaller.js";
import { ENGINE_SERVICE, MODEL, STREAM_EVENTS, UpgradeEngines } from "./_upgradeEngines.js";

const HOSTS = 6;
const LOOPBACK = "127.0.0.1";
const DEFAULT_SEED = 1;
const REQUEST_INTERVAL_MILLISECONDS = 25;
const RESOLVE_INTERVAL_MILLISECONDS = 500;

/** Time in each phase after the last replacement. */
const PHASE_MILLISECONDS = 3_000;

const LAUNCHER = join("target", "flamingospread.cjs");
const NODE_OPTIONS = ["--single-threaded", "--max-old-space-size=160", "--max-semi-space-size=8"];
const MAXIMUM_REASON_CHARACTERS = 50;
const STATUS_OK = 200;
const STATUS_UNAVAILABLE = 503;

const LIMIT_PER_SECOND = 4;

const ENGINE_SLOTS = 50;
const ADAPTER_SLOTS = 2;
const ADAPTERS = ["a1", "a2", "a3", "a4"];

/** Callers who resume a stream lose their connection after this time, at least and at most. */
const BREAK_MILLISECONDS = { minimum: 100, maximum: 800 };

type Kind = "idempotent" | "once" | "stream" | "model" | "adapter" | "resumed" | "limited";
type Outcome = "served" | "refused" | "cut" | "failed";

const KINDS: readonly Kind[] = ["idempotent", "once", "stream", "model", "adapter", "resumed", "limited"];
const PATHS: Readonly<Record<Kind, string>> = {
    idempotent: "/reads/1",
    once: "/orders/1",
    stream: "/streams/1",
    model: "/llm/1",
    adapter: "/llm/1",
    resumed: "/llm/1",
    limited: "/limited/1",
};

/** Kinds of requests that name a model. */
const MODEL_KINDS: ReadonlySet<Kind> = new Set(["model", "adapter", "resumed"]);

/** A machine; the process on it is replaced. */
interface Machine {
    readonly name: string;
    readonly settings: EntryProgramSettings;
    readonly directory: number;
    program: EntryProgram;
    isNew: boolean;
    isServing: boolean;
}

/** What callers saw while a number of machines ran the new build. */
interface Phase {
    readonly name: string;
    readonly outcomes: Record<Outcome, number>;
    readonly reasons: Map<string, number>;
    /** What happened to the engines. */
    readonly events: string[];
    /** Hosts named in each answer to callers that asked a host of the old or the new build. */
    readonly named: { readonly old: number[]; readonly new: number[]; };
    planners: readonly string[];
}

function outcomeOf({ isComplete, status }: CallerAnswer): Outcome {
    if (status === undefined) {
        return "failed";
    }
    if (status === STATUS_OK) {
        return isComplete ? "served" : "cut";
    }
    return status === STATUS_UNAVAILABLE ? "refused" : "failed";
}

function describeAnswer({ body, isComplete, status }: CallerAnswer): string {
    return status === STATUS_OK && !isComplete
        ? "answer broken off"
        : `${status ?? "no answer"} ${body.slice(0, MAXIMUM_REASON_CHARACTERS)}`;
}

function portOf(address: string): number {
    return Number(address.split(":")[1]);
}

function bundle(folder: string): string {
    execFileSync("npm", ["run", "--silent", "bundle"], { cwd: folder });
    return join(folder, LAUNCHER);
}

/** Returns the planner that a program last logged. */
function plannerOf({ output }: EntryProgram): string {
    const lines = output().split("\n").filter(line => line.includes("planner changed"));
    return /"planner":"([^"]*)"/.exec(lines.at(-1) ?? "")?.[1] ?? "none";
}

/** Machines, their callers, and what these saw. */
class Upgrade {
    readonly #site: EntrySite;
    readonly #random: RandomSource;
    readonly #machines: Machine[] = [];
    readonly #limitedArrivals: LimitArrival[] = [];
    readonly #executions = new Map<string, number>();
    readonly #pending: Promise<void>[] = [];
    readonly #phases: Phase[] = [];
    readonly #totals = new Map<string, number>();
    readonly #engines: UpgradeEngines;
    #addresses: readonly string[] = [];
    #sent = 0;
    #ended = false;

    constructor(site: EntrySite, random: RandomSource) {
        this.#site = site;
        this.#random = random;
        this.#engines = new UpgradeEngines(site);
    }

    async play(oldLauncher: string, newLauncher: string): Promise<void> {
        await this.#prepare(oldLauncher);
        this.#beginPhase("all old");
        const callers = [this.#resolveAddresses(), this.#sendRequests()];
        await delay(PHASE_MILLISECONDS);
        await this.#replaceAll(newLauncher, true);
        await this.#replaceAll(oldLauncher, false);
        this.#ended = true;
        await Promise.all(callers);
        await Promise.all(this.#pending);
        this.#report();
    }

    async close(): Promise<void> {
        await Promise.all(this.#machines.map(({ program }) => program.close()));
        await this.#site.close();
    }

    async #prepare(launcher: string): Promise<void> {
        const site = this.#site;
        this.#configure();
        const limited = await site.addUpstream({
            id: "i-limited",
            slots: 100,
            behave: () => {
                this.#limitedArrivals.push({ host: "", atMilliseconds: performance.now() });
                return { type: "answer" };
            },
        }, "limited");
        limited.limit = String(LIMIT_PER_SECOND);
        for (const index of [1, 2, 3]) {
            await site.addUpstream({
                id: `i-plain-${index}`,
                slots: 100,
                behave: ({ id, path }) => {
                    this.#executions.set(id, (this.#executions.get(id) ?? 0) + 1);
                    return path === PATHS.stream
                        ? { type: "stream", events: STREAM_EVENTS, gapMilliseconds: 25 }
                        : { type: "answer", afterMilliseconds: 20 };
                },
            });
        }
        await this.#engines.start();
        for (let index = 1; index <= HOSTS; index += 1) {
            const name = `entry-${index}`;
            const created = await createEntrySettings(site.store.address);
            const settings = { ...created, text: created.text.replace("nodeName=entry-1", `nodeName=${name}`) };
            const directory = Number(/listen\.directory=[^:]*:(\d+)/.exec(settings.text)?.[1]);
            const program = startEntryProgram(settings.text, [...NODE_OPTIONS, launcher]);
            this.#machines.push({ name, settings, directory, program, isNew: false, isServing: true });
        }
        await Promise.all(this.#machines.map(({ settings }) => waitUntilProgramReady(settings)));
        await delay(PHASE_MILLISECONDS);
    }

    /** Stores the configuration with a new version. */
    #configure(): void {
        const streams = { kind: "stream", timeoutMs: 8_000, resumable: true };
        const engine = { ...engineSettings(ADAPTER_SLOTS, { [MODEL]: ADAPTERS.length }), slots: ENGINE_SLOTS };
        const service = { healthPath: "/healthz", maxConnections: 100, protocol: "h1", tls: false };
        this.#site.configure(
            [
                { pathPrefix: "/reads/" },
                { pathPrefix: "/limited/", service: "limited", timeoutMs: 4_000 },
                { pathPrefix: "/orders/", kind: "non_idempotent", maxAttempts: 1 },
                { pathPrefix: "/streams/", ...streams },
                { pathPrefix: "/llm/", service: ENGINE_SERVICE, ...streams },
            ],
            undefined,
            {
                services: [
                    { ...service, name: "plain" },
                    { ...service, name: "limited" },
                    { ...service, name: ENGINE_SERVICE, engine },
                ],
            },
        );
    }

    async #replaceAll(launcher: string, isNew: boolean): Promise<void> {
        for (const machine of this.#machines) {
            const number = this.#machines.filter(other => other.isNew).length + (isNew ? 1 : -1);
            this.#beginPhase(`${isNew ? "upgrade" : "rollback"}: ${number} of ${HOSTS} new`);
            this.#pending.push(this.#changeEngines());
            machine.isServing = false;
            machine.program.child.kill("SIGTERM");
            await machine.program.ended;
            await machine.program.close();
            this.#configure();
            machine.program = startEntryProgram(machine.settings.text, [...NODE_OPTIONS, launcher]);
            machine.isNew = isNew;
            await waitUntilProgramReady(machine.settings);
            machine.isServing = true;
            await delay(PHASE_MILLISECONDS);
            const phase = this.#phase;
            phase.planners = [...new Set(this.#machines.map(({ program }) => plannerOf(program)))];
        }
    }

    /** Loses an engine or replaces one, by turns, at some time within the phase. */
    async #changeEngines(): Promise<void> {
        const phase = this.#phase;
        const isLoss = this.#phases.length % 2 === 0;
        await delay(this.#random() * PHASE_MILLISECONDS);
        phase.events.push(isLoss ? this.#engines.lose() : await this.#engines.release());
    }

    get #phase(): Phase {
        const phase = this.#phases.at(-1);
        if (phase === undefined) {
            throw new Error("no phase has begun");
        }
        return phase;
    }

    #beginPhase(name: string): void {
        const outcomes = { served: 0, refused: 0, cut: 0, failed: 0 };
        this.#phases.push({
            name,
            outcomes,
            reasons: new Map(),
            events: [],
            named: { old: [], new: [] },
            planners: [],
        });
    }

    #pick<Item>(items: readonly Item[]): Item | undefined {
        return items[Math.floor(this.#random() * items.length)];
    }

    async #resolveAddresses(): Promise<void> {
        while (!this.#ended) {
            const machine = this.#pick(this.#machines.filter(({ isServing }) => isServing));
            if (machine !== undefined) {
                await this.#resolveFrom(machine);
            }
            await delay(RESOLVE_INTERVAL_MILLISECONDS);
        }
    }

    async #resolveFrom({ directory, isNew }: Machine): Promise<void> {
        const url = "/resolve?name=site.example&region=r&zone=zone-a";
        const answer = await callAuxiliaryServer({ address: LOOPBACK, port: directory }, url).catch(() => undefined);
        if (answer?.status === STATUS_OK) {
            this.#addresses = (JSON.parse(answer.body) as { readonly addresses: readonly string[]; }).addresses;
            this.#phase.named[isNew ? "new" : "old"].push(this.#addresses.length);
        }
    }

    async #sendRequests(): Promise<void> {
        while (!this.#ended) {
            this.#pending.push(this.#sendRequest());
            await delay(REQUEST_INTERVAL_MILLISECONDS);
        }
    }

    async #sendRequest(): Promise<void> {
        const address = this.#pick(this.#addresses);
        const kind = this.#pick(KINDS);
        if (address === undefined || kind === undefined) {
            return;
        }
        const phase = this.#phase;
        this.#sent += 1;
        const id = `${kind}/${this.#sent}`;
        if (kind === "resumed") {
            await this.#sendResumed(id, phase);
            return;
        }
        const callers = { address: LOOPBACK, port: portOf(address) };
        const answer = await callHost({ settings: { callers } }, this.#createRequest(kind, id));
        this.#record(kind, phase, outcomeOf(answer), describeAnswer(answer));
    }

    #createRequest(kind: Kind, id: string): CallerRequest & { readonly id: string; } {
        const path = PATHS[kind];
        if (!MODEL_KINDS.has(kind)) {
            return { path, id };
        }
        const adapter = kind === "adapter" ? `/${this.#pick(ADAPTERS) ?? ""}` : "";
        return { path, id, method: "POST", headers: { "Flamingospread-Model": MODEL + adapter } };
    }

    async #sendResumed(id: string, phase: Phase): Promise<void> {
        const { maximum, minimum } = BREAK_MILLISECONDS;
        const { answer, problem, requests } = await callResuming(this.#createRequest("resumed", id), {
            events: STREAM_EVENTS,
            breakAfterMilliseconds: minimum + this.#random() * (maximum - minimum),
            choosePort: () => portOf(this.#pick(this.#addresses) ?? ""),
        });
        const outcome = problem === undefined ? outcomeOf(answer) : "failed";
        this.#record("resumed", phase, outcome, problem ?? `${describeAnswer(answer)} after ${requests} requests`);
    }

    #record(kind: Kind, phase: Phase, outcome: Outcome, description: string): void {
        phase.outcomes[outcome] += 1;
        const total = `${kind} ${outcome}`;
        this.#totals.set(total, (this.#totals.get(total) ?? 0) + 1);
        if (outcome !== "served") {
            const reason = `${kind} ${description}`;
            phase.reasons.set(reason, (phase.reasons.get(reason) ?? 0) + 1);
        }
    }

    #describeLimit(): string {
        const [first] = this.#limitedArrivals;
        const steps = [{ atMilliseconds: first?.atMilliseconds ?? 0, requestsPerSecond: LIMIT_PER_SECOND }];
        const toldAtMilliseconds = new Map([["", first?.atMilliseconds ?? 0]]);
        const worst = findWorstWindow({ steps, arrivals: this.#limitedArrivals, toldAtMilliseconds });
        return `limited upstream: ${this.#limitedArrivals.length} requests; most in a window ${worst.requests}, `
            + `${worst.allowed.toFixed(0)} allowed`;
    }

    #report(): void {
        const range = (counts: readonly number[]): string =>
            counts.length === 0 ? "-" : `${Math.min(...counts)}..${Math.max(...counts)}`;
        for (const { events, name, named, outcomes, planners, reasons } of this.#phases) {
            const seen = Object.entries(outcomes).map(([outcome, count]) => `${outcome} ${count}`).join(", ");
            console.log(
                `${name}: ${seen}; named by old ${range(named.old)}, by new ${range(named.new)}; `
                    + `planners ${planners.join(", ")}; ${events.join(", ")}`,
            );
            reasons.forEach((count, reason) => console.log(`    ${count} x ${reason}`));
        }
        const totals = [...this.#totals].toSorted(([left], [right]) => left.localeCompare(right));
        console.log(`in all: ${totals.map(([total, count]) => `${total} ${count}`).join(", ")}`);
        console.log(this.#describeLimit());
        const twice = [...this.#executions].filter(([id, count]) => id.startsWith("once/") && count > 1);
        console.log(`requests sent ${this.#sent}; run twice of those that may run once: ${twice.length}`);
    }
}

async function playSeed(seed: number, oldLauncher: string, newLauncher: string): Promise<void> {
    console.log(`seed ${seed}`);
    const upgrade = new Upgrade(await EntrySite.start(), createSeededRandom(seed));
    try {
        await upgrade.play(oldLauncher, newLauncher);
    }
    finally {
        await upgrade.close();
    }
}

async function main(): Promise<void> {
    const [commit, seeds = String(DEFAULT_SEED), laterCommit] = process.argv.slice(2);
    if (commit === undefined) {
        throw new Error("usage: npx tsx measurements/upgrade.ts COMMIT [SEED,SEED...] [LATER_COMMIT]");
    }
    const old = checkOutBuild(commit);
    const later = laterCommit === undefined ? undefined : checkOutBuild(laterCommit);
    try {
        const [oldLauncher, newLauncher] = [bundle(old.folder), bundle(later?.folder ?? ".")];
        for (const seed of seeds.split(",").map(Number)) {
            await playSeed(seed, oldLauncher, newLauncher);
        }
    }
    finally {
        old.remove();
        later?.remove();
    }
}

await main();
