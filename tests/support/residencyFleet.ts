/**
 * Fakes for the residency tests: engines, the key-value service, leases and hosts under one seeded clock.
 *
 * @module
 */
import { createSeededRandom, type Decision, type RandomSource } from "../../src/decision/index.js";
import { type Deployment } from "../../src/generated/deployment.js";
import { type ResidencyDigest } from "../../src/generated/peers.js";
import { type EngineRecord } from "../../src/generated/platform.js";
import { type EngineOrder, type EngineOrderAnswer, type EngineReport } from "../../src/generated/upstreams.js";
import {
    compareFencing,
    createResidencyDecision,
    isProvedCopy,
    type ResidencyEffect,
    type ResidencyMessage,
} from "../../src/residency/index.js";

const LEASE_MILLISECONDS = 10_000;
const TICK_MILLISECONDS = 500;
const LOAD_MILLISECONDS = 1_500;
const ANSWER_TIMEOUT_MILLISECONDS = 4_000;
const REPUBLISH_MILLISECONDS = 4_000;
/**
 * For this long after an engine's restart, its record may still prove copies that the restart removed; an eviction that
 * relies on them is not a violation.
 */
const RESTART_DETECTION_MILLISECONDS = 40_000;

/** A fault to inject at a given time. */
export interface Fault {
    readonly kind:
        | "pause"
        | "restart"
        | "store-outage"
        | "lose-order"
        | "lose-answer"
        | "delay-order"
        | "lose-store-answer"
        | "delay-store-write"
        | "refuse-memory"
        | "stale-report"
        | "lease-lapse"
        | "text";
    readonly atMilliseconds: number;
    /** Selects the host, engine or deployment, and the length of the fault. */
    readonly choice: number;
}

/** Options of a simulation. */
export interface FleetOptions {
    readonly seed: number;
    readonly deployments: readonly Deployment[];
    readonly faults: readonly Fault[];
}

interface Host {
    readonly name: string;
    readonly decision: Decision<ResidencyMessage, ResidencyEffect>;
    pausedUntilMilliseconds: number;
    epoch: number | undefined;
    inbox: ResidencyMessage[];
}

/** One engine; it executes every order, so that the test detects orders that exceed its memory. */
export class FakeEngine {
    incarnation = 0;
    restartedAtMilliseconds = -Infinity;
    role = "";
    highestFencing = { epoch: 0, sequence: 0 };
    readonly holds = new Map<string, number>();
    readonly loaded = new Set<string>();
    constructor(
        readonly name: string,
        readonly checksFencing: boolean,
        private readonly preloaded: ReadonlyMap<string, number>,
    ) {
        this.restart(-Infinity);
    }
    get incarnationName(): string {
        return `${this.name}-${this.incarnation}`;
    }
    restart(now: number): void {
        this.incarnation += 1;
        this.restartedAtMilliseconds = now;
        this.role = "";
        this.highestFencing = { epoch: 0, sequence: 0 };
        this.holds.clear();
        this.loaded.clear();
        for (const [key, megabytes] of this.preloaded) {
            this.holds.set(key, megabytes);
            this.loaded.add(key);
        }
    }
    report(): EngineReport {
        const loadedEntries = (kind: string): string[][] =>
            [...this.loaded].map(key => key.split(" ")).filter(([loadedKind]) => loadedKind === kind);
        return {
            engine: this.name,
            incarnation: this.incarnationName,
            leaving: false,
            running: 0,
            waiting: 0,
            role: this.role,
            models: loadedEntries("model").map(([, name = "", version = ""]) => ({ name, version })),
            adapters: loadedEntries("adapter").map(([, name = ""]) => name),
        };
    }
    models(): string[] {
        return this.report().models.map(model => model.name);
    }
}

/** Runs holders' decisions against fakes; `violations` lists each broken guarantee. */
export class Fleet {
    now = 0;
    readonly violations: string[] = [];
    readonly engines: FakeEngine[];
    readonly store = new Map<string, { record: EngineRecord; revision: number; }>();
    readonly explained: string[] = [];
    private readonly publishedDigests = new Map<string, ResidencyDigest>();
    maximumConcurrentLoads = 0;
    loads = 0;
    text: Deployment;
    private readonly hosts: Host[];
    private readonly random: RandomSource;
    private readonly queue: { at: number; run: () => void; }[] = [];
    private readonly armedFaults = new Map<Fault["kind"], number>();
    private revision = 0;
    private deploymentRevision = 1;
    private epoch = 0;
    private leaseExpiresAtMilliseconds = 0;
    private outageEndsAtMilliseconds = 0;
    private identifierCount = 0;

    constructor(private readonly options: FleetOptions) {
        this.random = createSeededRandom(options.seed);
        this.text = options.deployments[0] as Deployment;
        this.engines = this.pool.engines.map(({ name }, index) => {
            const preloaded = index === 0 ? this.text.models.slice(-1) : [];
            const held = preloaded.map(model => [`model ${model.name} ${model.version}`, model.megabytes] as const);
            return new FakeEngine(name, this.pool.checksFencing, new Map(held));
        });
        const createIdentifier = (): string => `id-${this.identifierCount += 1}`;
        this.hosts = ["host-1", "host-2", "host-3"].map(name => ({
            name,
            pausedUntilMilliseconds: 0,
            epoch: undefined,
            inbox: [],
            decision: createResidencyDecision({ pool: this.pool.name, host: name, createIdentifier }),
        }));
        for (const host of this.hosts) {
            this.deliver(host, { type: "deployment", deployment: this.text, revision: 1 });
            this.after(TICK_MILLISECONDS * (1 + this.random()), () => this.tick(host));
        }
        for (const fault of options.faults) {
            this.after(fault.atMilliseconds, () => this.inject(fault));
        }
    }

    get pool(): Deployment["pools"][number] {
        return this.text.pools[0] as Deployment["pools"][number];
    }

    runUntil(end: number): void {
        for (;;) {
            const next = this.queue[0];
            if (next === undefined || next.at > end || this.violations.length > 0) {
                this.now = end;
                return;
            }
            this.queue.shift();
            this.now = next.at;
            next.run();
            this.checkCopies();
        }
    }

    /** Sends a message to every host. */
    deliverToAll(message: ResidencyMessage): void {
        this.hosts.forEach(host => this.deliver(host, message));
    }

    private after(delay: number, run: () => void): void {
        const at = this.now + delay;
        const index = this.queue.findLastIndex(queued => queued.at <= at);
        this.queue.splice(index + 1, 0, { at, run });
    }

    private consumeFault(kind: Fault["kind"]): boolean {
        const remaining = this.armedFaults.get(kind) ?? 0;
        this.armedFaults.set(kind, Math.max(0, remaining - 1));
        return remaining > 0;
    }

    private inject({ kind, choice }: Fault): void {
        const host = this.hosts[choice % this.hosts.length] as Host;
        const holder = this.hosts.find(candidate => candidate.epoch === this.epoch) ?? host;
        const engine = this.engines[choice % this.engines.length] as FakeEngine;
        const length = 2_000 + choice * 300;
        if (kind === "pause") {
            holder.pausedUntilMilliseconds = this.now + length;
        }
        else if (kind === "lease-lapse") {
            this.leaseExpiresAtMilliseconds = this.now;
        }
        else if (kind === "restart") {
            engine.restart(this.now);
        }
        else if (kind === "store-outage") {
            this.outageEndsAtMilliseconds = this.now + length;
        }
        else if (kind === "stale-report") {
            const report = engine.report();
            this.after(length, () => this.deliverToAll({ type: "engine-reported", report }));
        }
        else if (kind === "text") {
            this.text = this.options.deployments[choice % this.options.deployments.length] as Deployment;
            this.deploymentRevision += 1;
            const message = { type: "deployment" as const, deployment: this.text, revision: this.deploymentRevision };
            this.hosts.forEach(reader => this.after(this.random() * 3_000, () => this.deliver(reader, message)));
        }
        else {
            this.armedFaults.set(kind, 1 + choice % 3);
        }
    }

    private tick(host: Host): void {
        this.after(TICK_MILLISECONDS, () => this.tick(host));
        if (this.now < host.pausedUntilMilliseconds) {
            return;
        }
        if (this.now >= this.outageEndsAtMilliseconds) {
            this.updateLease(host);
        }
        this.deliver(host, { type: "tick" });
    }

    private updateLease(host: Host): void {
        const expiresAtMilliseconds = this.now + LEASE_MILLISECONDS;
        if (host.epoch !== undefined && host.epoch === this.epoch && this.now < this.leaseExpiresAtMilliseconds) {
            this.leaseExpiresAtMilliseconds = expiresAtMilliseconds;
            this.deliver(host, { type: "lease-renewed", expiresAtMilliseconds });
        }
        else if (this.now >= this.leaseExpiresAtMilliseconds) {
            this.epoch += 1;
            host.epoch = this.epoch;
            this.leaseExpiresAtMilliseconds = expiresAtMilliseconds;
            this.deliver(host, { type: "lease-acquired", epoch: this.epoch, expiresAtMilliseconds });
        }
        else if (host.epoch !== undefined) {
            host.epoch = undefined;
            this.deliver(host, { type: "lease-lost" });
        }
    }

    /** Delivers a message to a host; a paused host receives it when it resumes. */
    private deliver(host: Host, message: ResidencyMessage): void {
        if (this.now < host.pausedUntilMilliseconds) {
            this.after(host.pausedUntilMilliseconds - this.now, () => this.deliver(host, message));
            return;
        }
        for (const effect of host.decision.handle(message, this.now)) {
            this.after(this.random() * 5, () => this.executeEffect(host, effect));
        }
    }

    private executeEffect(host: Host, effect: ResidencyEffect): void {
        if (this.now < host.pausedUntilMilliseconds) {
            this.after(host.pausedUntilMilliseconds - this.now, () => this.executeEffect(host, effect));
            return;
        }
        const answer = (message: ResidencyMessage, delay = this.random() * 10): void =>
            this.after(delay, () => this.deliver(host, message));
        switch (effect.type) {
            case "read-record":
                this.after(this.random() * 5, () => this.readRecord(effect.engine, answer));
                return;
            case "write-record":
                this.writeRecord(effect, answer);
                return;
            case "read-report":
                this.after(this.random() * 20, () => {
                    const report = this.engine(effect.engine).report();
                    answer({ type: "engine-reported", report, readIdentifier: effect.readIdentifier });
                });
                return;
            case "send-order":
                this.sendOrder(effect, answer);
                return;
            case "explain":
                this.explained.push(
                    `${this.now} ${effect.action} ${effect.engine ?? ""} ${effect.name}: ${effect.reason}`,
                );
                return;
            case "publish-residency":
                this.checkPublished(effect.digest);
                return;
        }
    }

    private engine(name: string): FakeEngine {
        return this.engines.find(engine => engine.name === name) as FakeEngine;
    }

    private readRecord(engine: string, answer: (message: ResidencyMessage) => void): void {
        if (this.now < this.outageEndsAtMilliseconds) {
            answer({ type: "record-read-failed", engine });
            return;
        }
        const stored = this.store.get(engine);
        answer({ type: "record-read", engine, record: stored?.record, storeRevision: stored?.revision ?? 0 });
    }

    private writeRecord(
        { engine, record, expectedStoreRevision }: Extract<ResidencyEffect, { type: "write-record"; }>,
        answer: (message: ResidencyMessage) => void,
    ): void {
        const writeIdentifier = record.writeIdentifier;
        const outcomeUnknown: ResidencyMessage = { type: "record-write-unknown", engine, writeIdentifier };
        const compareAndSwap = (): number | undefined => {
            const current = this.store.get(engine);
            if ((current?.revision ?? 0) !== expectedStoreRevision) {
                return undefined;
            }
            this.checkEvictions(engine, current?.record, record);
            this.revision += 1;
            this.store.set(engine, { record, revision: this.revision });
            return this.revision;
        };
        if (this.now < this.outageEndsAtMilliseconds) {
            answer(outcomeUnknown);
            return;
        }
        if (this.consumeFault("delay-store-write")) {
            this.after(this.random() * 12_000, compareAndSwap);
            answer(outcomeUnknown);
            return;
        }
        this.after(this.random() * 5, () => {
            const storeRevision = compareAndSwap();
            if (this.consumeFault("lose-store-answer")) {
                answer(outcomeUnknown);
            }
            else if (storeRevision === undefined) {
                answer({ type: "record-conflict", engine, writeIdentifier });
            }
            else {
                answer({ type: "record-written", engine, writeIdentifier, storeRevision });
            }
        });
    }

    private sendOrder(
        { engine: name, incarnation, order }: Extract<ResidencyEffect, { type: "send-order"; }>,
        answer: (message: ResidencyMessage, delay?: number) => void,
    ): void {
        const engine = this.engine(name);
        if (engine.incarnationName !== incarnation) {
            answer({ type: "order-not-sent", engine: name, order });
            return;
        }
        const unanswered: ResidencyMessage = { type: "order-unanswered", engine: name, order };
        if (this.consumeFault("lose-order")) {
            answer(unanswered, ANSWER_TIMEOUT_MILLISECONDS);
            return;
        }
        const isLate = this.consumeFault("delay-order");
        const isLost = isLate || this.consumeFault("lose-answer");
        if (isLost) {
            answer(unanswered, isLate ? ANSWER_TIMEOUT_MILLISECONDS * this.random() : ANSWER_TIMEOUT_MILLISECONDS);
        }
        this.after(isLate ? this.random() * 25_000 : this.random() * 30, () => {
            if (engine.incarnationName !== incarnation) {
                if (!isLost) {
                    answer(unanswered);
                }
                return;
            }
            this.executeOrder(engine, order, outcome => {
                if (!isLost) {
                    answer({ type: "order-answered", engine: name, order, answer: { outcome, incarnation } });
                }
            });
        });
    }

    private executeOrder(
        engine: FakeEngine,
        order: EngineOrder,
        done: (outcome: EngineOrderAnswer["outcome"]) => void,
    ): void {
        if (engine.checksFencing && compareFencing(order.fencing, engine.highestFencing) < 0) {
            done("refused-fencing");
            return;
        }
        engine.highestFencing = order.fencing;
        if (order.kind !== "evict-model" && order.kind !== "evict-adapter" && this.consumeFault("refuse-memory")) {
            done(order.fencing.sequence % 2 === 0 ? "failed" : "refused-memory");
            return;
        }
        const kind = order.kind.endsWith("model") ? "model" : "adapter";
        const key = `${kind} ${order.name} ${order.version ?? order.model ?? ""}`;
        if (order.kind === "change-role") {
            engine.role = order.name;
        }
        else if (order.kind.startsWith("evict")) {
            engine.holds.delete(key);
            engine.loaded.delete(key);
        }
        else if (!engine.loaded.has(key)) {
            this.startLoad(engine, order, key, done);
            return;
        }
        done("done");
    }

    private startLoad(engine: FakeEngine, order: EngineOrder, key: string, done: (outcome: "done") => void): void {
        const incarnation = engine.incarnation;
        engine.holds.set(key, order.megabytes ?? 0);
        this.loads += 1;
        const running = this.engines.flatMap(other =>
            [...other.holds.keys()].filter(held => held.startsWith("model") && !other.loaded.has(held))
        );
        this.maximumConcurrentLoads = Math.max(this.maximumConcurrentLoads, running.length);
        this.after(order.kind === "load-model" ? LOAD_MILLISECONDS : 5, () => {
            if (engine.incarnation !== incarnation) {
                return;
            }
            if (engine.holds.has(key)) {
                engine.loaded.add(key);
            }
            done("done");
        });
    }

    private megabytesUsed(engine: FakeEngine): number {
        const role = this.pool.roles.find(({ name }) => name === engine.role)?.megabytes ?? 0;
        return [...engine.holds.values()].reduce((sum, megabytes) => sum + megabytes, role);
    }

    private recordViolation(violation: string): void {
        this.violations.push(`${Math.round(this.now)} ${violation}`);
    }

    /** Checks memory use and proved copies of all engines; runs after every step. */
    private checkCopies(): void {
        for (const engine of this.engines) {
            if (this.megabytesUsed(engine) > this.pool.memoryMegabytes) {
                this.recordViolation(`${engine.name} is overcommitted: ${[...engine.holds.keys()].join(", ")}`);
            }
            const record = this.store.get(engine.name)?.record;
            if (record?.incarnation !== engine.incarnationName) {
                continue;
            }
            for (const { kind, name, version } of record.entries.filter(entry => isProvedCopy(entry))) {
                if (!engine.loaded.has(`${kind} ${name} ${version}`)) {
                    this.recordViolation(`${engine.name} does not hold ${name} ${version}, which its record proves`);
                }
            }
        }
    }

    /** Checks that a proved copy is missing from the digests only while another copy of its model is published. */
    private checkPublished(digest: ResidencyDigest): void {
        this.publishedDigests.set(digest.engine, digest);
        const models = this.store.get(digest.engine)?.record.entries.filter(({ kind }) => kind === "model") ?? [];
        const unpublished = models.filter(entry => isProvedCopy(entry) && !this.isPublished(entry.name));
        if (unpublished.length > 0) {
            this.after(
                REPUBLISH_MILLISECONDS,
                () => this.checkPublishedLater(digest.engine, unpublished.map(({ name }) => name)),
            );
        }
    }

    private checkPublishedLater(engine: string, unpublished: readonly string[]): void {
        const isQuiet = this.now >= this.outageEndsAtMilliseconds
            && this.hosts.every(host => this.now >= host.pausedUntilMilliseconds);
        const record = this.store.get(engine)?.record;
        for (const name of isQuiet ? unpublished : []) {
            const isProved = record?.entries.some(entry => entry.name === name && isProvedCopy(entry)) === true;
            if (isProved && record.incarnation === this.engine(engine).incarnationName && !this.isPublished(name)) {
                this.recordViolation(`no digest lists ${name}, which ${engine} holds`);
            }
        }
    }

    private isPublished(name: string): boolean {
        return [...this.publishedDigests.values()].some(({ models }) => models.some(model => model.name === name));
    }

    /** Checks at each write that a proved copy is evicted only while another proved copy exists. */
    private checkEvictions(engine: string, before: EngineRecord | undefined, after: EngineRecord): void {
        const listed = new Set(this.text.models.map(model => model.name));
        const proved = (record: EngineRecord): string[] =>
            record.entries.filter(entry => entry.kind === "model" && isProvedCopy(entry)).map(entry => entry.name);
        if (before === undefined || before.incarnation !== after.incarnation) {
            return;
        }
        for (const name of proved(before).filter(model => listed.has(model) && !proved(after).includes(model))) {
            const others = this.engines.filter(other => other.name !== engine).filter(other => {
                const record = this.store.get(other.name)?.record;
                const isLate = this.now - other.restartedAtMilliseconds < RESTART_DETECTION_MILLISECONDS;
                return record !== undefined && proved(record).includes(name)
                    && (isLate || other.models().includes(name));
            });
            if (others.length === 0) {
                this.recordViolation(`the last proved copy of ${name} is evicted on ${engine}`);
            }
        }
    }
}
