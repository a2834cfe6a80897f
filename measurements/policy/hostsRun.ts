/**
 * Simulates several hosts' requests decisions and engine models under one seeded clock, and records the outcome of each
 * request.
 *
 * @module
 */
import { createSeededRandom, type Decision, type RandomSource, rankByRendezvous } from "../../src/decision/index.js";
import { type AttemptFailure, type RequestsEffect, type RequestsMessage } from "../../src/requests/index.js";
import { createEngineModel, type EngineJob, type EngineModel } from "./engineModel.js";
import { createEventQueue, type EventQueue } from "./eventQueue.js";
import { type Arrival, type HostsRunOptions, type RequestRecord } from "./runTypes.js";

const TICK_MILLISECONDS = 50;
const CANCEL_DELAY_MILLISECONDS = 20;

interface Attempt {
    readonly host: string;
    readonly identifier: string;
    readonly attempt: number;
    readonly engine: EngineModel;
    readonly job: EngineJob;
}

/** One simulation run, with methods that inject faults. */
export class HostsRun {
    readonly events: EventQueue = createEventQueue();
    readonly records = new Map<string, RequestRecord>();
    readonly crashes: { readonly engine: string; readonly atMilliseconds: number; }[] = [];
    readonly leaving = new Set<string>();
    readonly random: RandomSource;
    readonly #options: HostsRunOptions;
    readonly #decisions = new Map<string, Decision<RequestsMessage, RequestsEffect>>();
    readonly #engines = new Map<string, EngineModel>();
    readonly #attempts = new Map<string, Attempt>();
    readonly #placement: Map<string, readonly string[]>;
    #recordRevision = 0;

    constructor(options: HostsRunOptions) {
        this.#options = options;
        this.#placement = new Map(options.placement);
        this.random = createSeededRandom(options.seed);
        for (const host of options.hosts) {
            const random = createSeededRandom(Math.floor(this.random() * 2 ** 31));
            this.#decisions.set(host, options.createDecision(host, random));
        }
        for (const pool of options.deployment.pools) {
            for (const { name } of pool.engines) {
                this.#engines.set(name, this.#createEngine(name, pool.slots));
            }
        }
    }

    /** Runs the simulation to its end. */
    run(): void {
        const { arrivals, deployment, endMilliseconds, hosts } = this.#options;
        this.deliverToAll({ type: "deployment", deployment, revision: 1 });
        this.deliverToAll({ type: "peers", hosts });
        for (const engine of this.#engines.values()) {
            this.#publishResidency(engine);
            this.#poll(engine);
        }
        for (const host of hosts) {
            this.events.schedule(this.random() * TICK_MILLISECONDS, () => this.#tick(host));
        }
        for (const arrival of arrivals) {
            this.events.schedule(arrival.atMilliseconds, () => this.submit(arrival));
        }
        this.#options.prepare?.(this);
        this.events.runUntil(endMilliseconds);
    }

    /** Submits a request to its host. */
    submit(arrival: Arrival): void {
        this.records.set(arrival.request.identifier, {
            arrival,
            answers: 0,
            refusal: undefined,
            finishedAtMilliseconds: undefined,
            refusedAtMilliseconds: undefined,
            firstTokenAtMilliseconds: undefined,
            tokens: 0,
            attempts: 0,
            taken: false,
        });
        this.deliver(arrival.host, { type: "submit", request: arrival.request });
        if (arrival.cancelAfterMilliseconds !== undefined) {
            const { identifier } = arrival.request;
            this.events.schedule(
                arrival.cancelAfterMilliseconds,
                () => this.deliver(arrival.host, { type: "cancel", identifier }),
            );
        }
    }

    /** Delivers a message to one host without delay. */
    deliver(host: string, message: RequestsMessage): void {
        const now = this.events.now();
        const effects = this.#decisions.get(host)?.handle(message, now) ?? [];
        for (const effect of effects) {
            this.#options.onEffect?.(host, effect, now);
            this.#performEffect(host, effect);
        }
    }

    /** Delivers a message to every host without delay. */
    deliverToAll(message: RequestsMessage): void {
        for (const host of this.#options.hosts) {
            this.deliver(host, message);
        }
    }

    /** Returns the share of prompt tokens that engines found in their caches. */
    cachedPromptShare(): number {
        const totals = [...this.#engines.values()].map(engine => engine.promptTokens());
        const all = totals.reduce((sum, total) => sum + total.all, 0);
        return 1 - totals.reduce((sum, total) => sum + total.uncached, 0) / Math.max(1, all);
    }

    /** Returns the models that an engine holds. */
    modelsOn(engine: string): readonly string[] {
        return this.#placement.get(engine) ?? [];
    }

    /** Changes the models that an engine holds, and publishes its residency to the hosts. */
    setModels(engine: string, models: readonly string[]): void {
        const model = this.#engines.get(engine);
        this.#placement.set(engine, models);
        if (model !== undefined) {
            this.#publishResidency(model);
        }
    }

    /** Crashes an engine that is running. */
    crashEngine(engine: string): void {
        const model = this.#engines.get(engine);
        if (model?.isUp() === true) {
            model.crash();
        }
    }

    /** Makes an engine report from its next report on that it is leaving. */
    leaveEngine(engine: string): void {
        this.leaving.add(engine);
    }

    /** Cuts the connection of a random open attempt while its engine stays up; false where no attempt is open. */
    cutConnection(failure: AttemptFailure = "connection-lost"): boolean {
        const attempts = [...this.#attempts.values()];
        const cut = attempts[Math.floor(this.random() * attempts.length)];
        if (cut === undefined) {
            return false;
        }
        cut.engine.cancel(cut.job);
        this.#fail(cut, failure);
        return true;
    }

    #createEngine(name: string, slots: number): EngineModel {
        return createEngineModel({
            name,
            slots,
            cacheTokens: this.#options.cacheTokens,
            events: this.events,
            onCacheChange: (prefixKey, cached) => this.#publishCacheEvent(name, prefixKey, cached),
            onCrash: () => this.#handleCrash(name),
        });
    }

    #pollerOf(engine: string): string {
        return rankByRendezvous(engine, this.#options.hosts)[0] ?? "";
    }

    #tick(host: string): void {
        this.deliver(host, { type: "tick" });
        this.events.schedule(TICK_MILLISECONDS, () => this.#tick(host));
    }

    #poll(engine: EngineModel): void {
        if (engine.isUp()) {
            this.#publishReport(engine);
        }
        const { reportIntervalMilliseconds } = this.#options.network;
        this.events.schedule(reportIntervalMilliseconds * (0.9 + 0.2 * this.random()), () => this.#poll(engine));
    }

    #publishReport(engine: EngineModel): void {
        const observedAt = this.events.now();
        const digest = {
            engine: engine.name,
            incarnation: engine.incarnation(),
            running: engine.running(),
            waiting: engine.waiting(),
            leaving: this.leaving.has(engine.name),
        };
        for (const host of this.#options.hosts) {
            const maximumDelay = host === this.#pollerOf(engine.name)
                ? 0
                : this.#options.network.digestDelayMilliseconds;
            this.events.schedule(2 + maximumDelay * this.random(), () => {
                const observedMillisecondsAgo = Math.round(this.events.now() - observedAt);
                this.deliver(host, { type: "engine-observed", digest: { ...digest, observedMillisecondsAgo } });
            });
        }
    }

    #publishResidency(engine: EngineModel): void {
        this.#recordRevision += 1;
        const names = this.modelsOn(engine.name);
        const adapters = this.#options.deployment.adapters.filter(adapter => names.includes(adapter.model));
        const digest = {
            engine: engine.name,
            incarnation: engine.incarnation(),
            recordRevision: this.#recordRevision,
            models: names.map(name => ({ name, version: "1" })),
            adapters: adapters.map(adapter => adapter.name),
        };
        for (const host of this.#options.hosts) {
            this.events.schedule(this.random() * 50, () => this.deliver(host, { type: "residency", digest }));
        }
    }

    #publishCacheEvent(engine: string, prefixKey: string, cached: boolean): void {
        if (this.random() < this.#options.network.cacheEventLoss) {
            return;
        }
        const { reportIntervalMilliseconds } = this.#options.network;
        this.events.schedule(reportIntervalMilliseconds * this.random(), () => {
            this.deliver(this.#pollerOf(engine), { type: "cache-event", engine, prefixKey, cached });
        });
    }

    #handleCrash(name: string): void {
        const engine = this.#engines.get(name);
        if (engine === undefined) {
            return;
        }
        const { crashNoticeLoss, digestDelayMilliseconds, engineRestartMilliseconds } = this.#options.network;
        const incarnation = engine.incarnation();
        this.crashes.push({ engine: name, atMilliseconds: this.events.now() });
        for (const host of this.#options.hosts) {
            if (this.random() >= crashNoticeLoss) {
                const delay = digestDelayMilliseconds * this.random();
                this.events.schedule(
                    delay,
                    () => this.deliver(host, { type: "engine-crashed", engine: name, incarnation }),
                );
            }
        }
        this.events.schedule(engineRestartMilliseconds, () => {
            engine.restart();
            this.#publishReport(engine);
            this.#publishResidency(engine);
        });
    }

    #performEffect(host: string, effect: RequestsEffect): void {
        if (effect.type === "dispatch") {
            this.#dispatch(host, effect);
        }
        else if (effect.type === "cancel-attempt") {
            const attempt = this.#attempts.get(nameAttempt(effect.identifier, effect.attempt));
            this.#attempts.delete(nameAttempt(effect.identifier, effect.attempt));
            this.events.schedule(CANCEL_DELAY_MILLISECONDS * this.random(), () => attempt?.engine.cancel(attempt.job));
        }
        else if (effect.type === "refuse") {
            this.#recordRefusal(effect);
        }
        else if (effect.type === "share-suspects") {
            this.#shareSuspects(host, effect.digests);
        }
        else if (effect.type === "probe-engine") {
            this.#probe(host, effect.engine);
        }
    }

    #shareSuspects(from: string, digests: Extract<RequestsMessage, { type: "suspects"; }>["digests"]): void {
        for (const host of this.#options.hosts.filter(other => other !== from)) {
            const delay = this.#options.network.suspectsDelayMilliseconds * this.random();
            this.events.schedule(delay, () => this.deliver(host, { type: "suspects", digests }));
        }
    }

    #probe(host: string, name: string): void {
        const engine = this.#engines.get(name);
        this.events.schedule(2, () => {
            if (engine?.isUp() !== true) {
                return;
            }
            const digest = {
                engine: name,
                incarnation: engine.incarnation(),
                observedMillisecondsAgo: 0,
                running: engine.running(),
                waiting: engine.waiting(),
                leaving: this.leaving.has(name),
            };
            this.events.schedule(2, () => this.deliver(host, { type: "engine-observed", digest }));
        });
    }

    #dispatch(host: string, effect: Extract<RequestsEffect, { type: "dispatch"; }>): void {
        const record = this.records.get(effect.identifier);
        const engine = this.#engines.get(effect.engine);
        if (record === undefined || engine === undefined) {
            return;
        }
        record.attempts += 1;
        const { arrival } = record;
        const name = nameAttempt(effect.identifier, effect.attempt);
        const job: EngineJob = {
            model: arrival.request.model,
            class: effect.class,
            prompt: arrival.prompt,
            outputTokens: arrival.outputTokens,
            resumeAtToken: effect.resumeAtToken,
            ...(arrival.crashesAfterMilliseconds === undefined
                ? {}
                : { crashesAfterMilliseconds: arrival.crashesAfterMilliseconds }),
            onToken: tokens => {
                if (!this.#attempts.has(name)) {
                    return;
                }
                if (tokens === effect.resumeAtToken + 1) {
                    record.firstTokenAtMilliseconds ??= this.events.now();
                    this.deliver(host, {
                        type: "attempt-first-token",
                        identifier: effect.identifier,
                        attempt: effect.attempt,
                    });
                }
                record.tokens = tokens;
            },
            onFinished: () => {
                if (!this.#attempts.delete(name)) {
                    return;
                }
                record.answers += 1;
                record.finishedAtMilliseconds = this.events.now();
                this.deliver(host, {
                    type: "attempt-finished",
                    identifier: effect.identifier,
                    attempt: effect.attempt,
                });
            },
            onCrash: () => {
                this.events.schedule(20 * this.random(), () => this.#fail(attempt, "connection-lost"));
            },
        };
        const attempt: Attempt = { host, identifier: effect.identifier, attempt: effect.attempt, engine, job };
        this.#attempts.set(name, attempt);
        this.events.schedule(1, () => {
            if (!this.#attempts.has(name)) {
                return;
            }
            if (!engine.isUp()) {
                this.#fail(attempt, "not-started");
                return;
            }
            if (!this.modelsOn(engine.name).includes(arrival.request.model)) {
                this.#fail(attempt, "not-resident");
                return;
            }
            record.taken = true;
            engine.submit(job);
        });
    }

    #fail(attempt: Attempt, failure: AttemptFailure): void {
        const { host, identifier } = attempt;
        if (!this.#attempts.delete(nameAttempt(identifier, attempt.attempt))) {
            return;
        }
        const deliveredTokens = this.records.get(identifier)?.tokens ?? 0;
        this.deliver(host, { type: "attempt-failed", identifier, attempt: attempt.attempt, failure, deliveredTokens });
    }

    #recordRefusal(effect: Extract<RequestsEffect, { type: "refuse"; }>): void {
        const record = this.records.get(effect.identifier);
        if (record === undefined) {
            return;
        }
        const { ran, reason, retryAfterMilliseconds } = effect;
        record.answers += 1;
        record.refusedAtMilliseconds = this.events.now();
        record.refusal = { reason, ran, ...(retryAfterMilliseconds === undefined ? {} : { retryAfterMilliseconds }) };
    }
}

function nameAttempt(identifier: string, attempt: number): string {
    return `${identifier}#${attempt}`;
}
