/**
 * A model of hosts before engines of uneven speed, in virtual time.
 *
 * Engines run one step after the other: each prefills a piece of the prompts and generates one token for each other
 * request. Hosts know of an engine what its answers told them, what their peers report, and what they sent themselves.
 *
 * @module
 */
import { EngineMemoryUse, EngineSpeeds, HostRanks, PromptSizes } from "../../src/capacity/index.js";
import { createSeededRandom, type RandomSource } from "../../src/decision/index.js";
import { type Candidate, chooseUpstream, PrefillBacklog, UpstreamLoads } from "../../src/forwarding/index.js";

const SERVICE = "chat";
const STEP_MILLISECONDS = 5.5;
const STEP_GROWTH_MILLISECONDS = 0.15;
const PREFILL_TOKENS_PER_MILLISECOND = 38.7;
const PIECE_TOKENS = 2_048;
const EVENT_TOKENS = 8;
const SPELL_FACTOR = 2.5;
const SPELL_MILLISECONDS = 600;
const BETWEEN_SPELLS_MILLISECONDS = 2_400;
const PEER_REPORT_MILLISECONDS = 3;
const DIGEST_MILLISECONDS = 470;
const RETRY_MILLISECONDS = 10;
const ZONES = 3;
const CELL_HOSTS = 12;
const OTHER_CELLS_MILLISECONDS = 240;
const CELL_STAGGER_MILLISECONDS = 47;
const USUAL_FIGURE = 100;

/** A size of requests, and how many of all are of it. */
export interface RequestSize {
    readonly name: string;
    readonly promptTokens: number;
    readonly outputTokens: number;
    readonly share: number;
}

/** What is simulated. */
export interface EngineModelOptions {
    readonly seed: number;
    /** True to decide with the reported figures, false to decide as without them. */
    readonly usesFigures: boolean;
    readonly hosts: number;
    readonly engines: number;
    readonly slots: number;
    /** True for engines; plain services have no prompts. */
    readonly batches: boolean;
    readonly memoryTokens: number;
    readonly requestsPerSecond: number;
    readonly requests: number;
    readonly sizes: readonly RequestSize[];
    readonly targetMilliseconds: number;
    /** Changes the figure that an engine reports; as it is by default. */
    readonly report?: (engine: number, figure: string, nowMilliseconds: number) => string;
    /** Speeds of the engines, above 1 for slow ones; from 0.6 to 1.6 by default. */
    readonly slowdowns?: readonly number[];
}

/** What came of a simulation. */
export interface EngineModelResult {
    /** Share of the requests of each size whose first event came within the target. */
    readonly attainment: Readonly<Record<string, number>>;
    readonly preemptions: number;
    /** Mean requests of the busiest engine over the mean of all. */
    readonly busiest: number;
    /** Share of the requests that were sent to another zone. */
    readonly crossZone: number;
    readonly requestsByEngine: readonly number[];
    readonly p99Milliseconds: number;
    readonly meanMilliseconds: number;
    readonly meanCompletionMilliseconds: number;
}

interface Request {
    readonly host: Host;
    readonly size: RequestSize;
    readonly arrivedAt: number;
    prefillLeft: number;
    generated: number;
    firstEventAt: number | undefined;
    hasWaited: boolean;
}

interface News {
    readonly at: number;
    readonly apply: () => void;
}

class Engine {
    readonly id: string;
    readonly zone: number;
    readonly #options: EngineModelOptions;
    readonly #random: RandomSource;
    readonly #usual: number;
    #spellAt: number;
    #nextAt = 0;
    #stepping = false;
    running: Request[] = [];
    waiting: Request[] = [];
    preemptions = 0;
    requestTime = 0;
    received = 0;

    constructor(index: number, options: EngineModelOptions, random: RandomSource) {
        this.id = `engine-${index}`;
        this.zone = index % ZONES;
        this.#options = options;
        this.#random = random;
        this.#usual = options.slowdowns?.[index] ?? 0.6 * (1.6 / 0.6) ** random();
        this.#spellAt = -Math.log(1 - random()) * BETWEEN_SPELLS_MILLISECONDS;
    }

    /** The slowdown that the engine reports, as a factor. */
    spell(now: number): number {
        if (now >= this.#spellAt + SPELL_MILLISECONDS) {
            this.#spellAt = now - Math.log(1 - this.#random()) * BETWEEN_SPELLS_MILLISECONDS;
        }
        return now >= this.#spellAt ? SPELL_FACTOR : 1;
    }

    /** Runs until a time; `onFirst` and `onEnd` are called for requests at their first event and end. */
    run(now: number, onFirst: (request: Request) => void, onEnd: (request: Request) => void): void {
        this.requestTime += this.running.length + this.waiting.length;
        while (this.#nextAt <= now) {
            if (this.#stepping) {
                this.#complete(this.#nextAt, onFirst, onEnd);
            }
            this.#schedule();
            this.#stepping = this.running.length > 0;
            this.#nextAt = this.#stepping ? this.#nextAt + this.#begin(this.#nextAt) : Math.floor(now) + 1;
        }
    }

    #begin(now: number): number {
        let piece = PIECE_TOKENS;
        for (const request of this.running) {
            const read = Math.min(piece, request.prefillLeft);
            request.prefillLeft -= read;
            piece -= read;
        }
        const growth = this.#options.batches ? STEP_GROWTH_MILLISECONDS * this.running.length : 0;
        const usual = STEP_MILLISECONDS + growth + (PIECE_TOKENS - piece) / PREFILL_TOKENS_PER_MILLISECOND;
        return usual * this.#usual * this.spell(now);
    }

    #complete(now: number, onFirst: (request: Request) => void, onEnd: (request: Request) => void): void {
        for (const request of this.running) {
            if (request.prefillLeft > 0) {
                continue;
            }
            request.generated += 1;
            if (request.generated === EVENT_TOKENS && request.firstEventAt === undefined) {
                request.firstEventAt = now;
                onFirst(request);
            }
            if (request.generated === request.size.outputTokens) {
                onEnd(request);
            }
        }
        this.running = this.running.filter(({ generated, size }) => generated < size.outputTokens);
    }

    /** Starts waiting requests while their prompts fit in the memory, and preempts the newest ones where outputs do not. */
    #schedule(): void {
        let total = this.running.reduce((sum, request) => sum + tokensAfterStep(request), 0);
        while (total > this.#options.memoryTokens && this.running.length > 1) {
            const newest = this.running.pop() as Request;
            total -= tokensAfterStep(newest);
            newest.prefillLeft = newest.size.promptTokens + newest.generated;
            this.waiting.unshift(newest);
            this.preemptions += 1;
        }
        while (this.waiting[0] !== undefined && this.running.length < this.#options.slots) {
            total += tokensAfterStep(this.waiting[0]);
            if (total > this.#options.memoryTokens) {
                return;
            }
            this.running.push(...this.waiting.splice(0, 1));
        }
    }
}

/** Tokens that a request holds once its prompt is read, and the one that it generates next. */
function tokensAfterStep({ generated, size }: Request): number {
    return size.promptTokens + generated + 1;
}

class Host {
    readonly zone: number;
    readonly cell: number;
    readonly loads = new UpstreamLoads();
    readonly speeds = new EngineSpeeds();
    readonly memoryUse = new EngineMemoryUse();
    readonly backlog: PrefillBacklog;
    readonly hostRanks: HostRanks;
    readonly promptSizes = new PromptSizes();
    readonly queue: Request[] = [];
    readonly name: string;
    readonly #options: EngineModelOptions;
    readonly #random: RandomSource;

    constructor(index: number, options: EngineModelOptions, random: RandomSource) {
        this.name = `host-${index}`;
        this.cell = Math.floor(index / CELL_HOSTS);
        this.zone = Math.floor(index * ZONES / options.hosts);
        this.#options = options;
        this.#random = random;
        this.hostRanks = new HostRanks(this.name);
        this.backlog = new PrefillBacklog(random, (engine, now) => this.speeds.slowdown(engine, now));
    }

    /** Returns the engine that a request is sent to now; `undefined` while it waits. */
    choose({ hasWaited, size }: Request, engines: readonly Engine[], now: number): string | undefined {
        const { batches, hosts, memoryTokens, slots, usesFigures } = this.#options;
        const prompt = { promptTokens: size.promptTokens, waits: hasWaited, hostCount: hasWaited ? hosts : 1 };
        const candidates = engines.map(({ id, zone }): Candidate => {
            const requests = this.speeds.isReporting(id, SERVICE)
                ? this.loads.steadyEstimate(id, now)
                : this.loads.estimate(id, now);
            const use = { engine: id, service: SERVICE, requests, ownRequests: this.loads.inFlight(id) };
            const held = this.memoryUse.heldTokens(use);
            return {
                id,
                slots,
                batches,
                mayQueue: false,
                requests,
                hasFreeConnection: true,
                prefillBacklogTokens: this.backlog.backlogTokens(id, now),
                acceptsPrompt: !batches || this.backlog.accepts(id, prompt, now),
                sameZone: zone === this.zone,
                avoided: false,
                hasCachedPrompt: false,
                slowdown: this.speeds.slowdown(id, now),
                hostRank: this.speeds.isReporting(id, SERVICE) ? this.hostRanks.of(id) : undefined,
                longPromptTokens: this.speeds.isReporting(id, SERVICE) ? this.backlog.longTokens(id, now) : 0,
                hasLongPrompt: this.promptSizes.isLong(SERVICE, size.promptTokens),
                memoryShare: usesFigures ? (held + size.promptTokens + size.outputTokens) / memoryTokens : 0,
            };
        });
        const choice = chooseUpstream(candidates, this.#random);
        return choice.type === "send" ? choice.upstream : undefined;
    }
}

function sumOfOtherCells(
    published: ReadonlyMap<Host, Readonly<Record<string, number>>>,
    cell: number,
): Record<string, number> | undefined {
    const parts = [...published].filter(([host]) => host.cell !== cell).map(([, inFlight]) => inFlight);
    const sum: Record<string, number> = {};
    for (const [engine, count] of parts.flatMap(part => Object.entries(part))) {
        sum[engine] = (sum[engine] ?? 0) + count;
    }
    return parts.length === 0 ? undefined : sum;
}

/** Simulates hosts before engines until all requests have ended. */
export function simulateEngines(options: EngineModelOptions): EngineModelResult {
    const random = createSeededRandom(options.seed);
    const arrivals = createSeededRandom(options.seed + 1_000);
    const engines = Array.from(
        { length: options.engines },
        (_, index) => new Engine(index, options, createSeededRandom(options.seed * 100 + index)),
    );
    const hosts = Array.from({ length: options.hosts }, (_, index) => new Host(index, options, random));
    const news: News[] = [];
    const late: News[] = [];
    const published = new Map<Host, Readonly<Record<string, number>>>();
    const times = new Map<string, number[]>(options.sizes.map(({ name }) => [name, []]));
    let nextArrival = 0;
    let begun = 0;
    let ended = 0;
    let crossZone = 0;
    let completionMilliseconds = 0;
    let now = 0;
    const peersOf = (host: Host) => hosts.filter(each => each !== host && each.cell === host.cell);
    const report = (engine: Engine, request: Request) => {
        const { host } = request;
        const index = engines.indexOf(engine);
        const figure = String(Math.round(engine.spell(now) * USUAL_FIGURE));
        const reported = Number(options.report?.(index, figure, now) ?? figure);
        const load = { running: engine.running.length, waiting: engine.waiting.length, slots: options.slots };
        host.loads.recordReport(engine.id, load, now);
        const slowdown = options.usesFigures ? reported / USUAL_FIGURE : undefined;
        host.speeds.recordReport({ upstream: engine.id, service: SERVICE, slowdown }, now);
    };
    const send = (request: Request, engine: Engine) => {
        const { host, size } = request;
        const tokens = size.promptTokens + size.outputTokens;
        host.loads.recordStarted(engine.id);
        const isLong = host.promptSizes.isLong(SERVICE, size.promptTokens);
        host.promptSizes.record(SERVICE, size.promptTokens);
        host.backlog.recordSent(engine.id, size.promptTokens, now, isLong);
        host.memoryUse.recordStarted({ engine: engine.id, service: SERVICE, tokens, outputTokens: size.outputTokens });
        engine.waiting.push(request);
        engine.received += 1;
        crossZone += engine.zone === host.zone ? 0 : 1;
        const at = now + PEER_REPORT_MILLISECONDS;
        const peers = peersOf(host).filter(({ name }) => host.loads.usesUpstream(name, engine.id, now));
        const apply = () => {
            for (const peer of peers) {
                peer.loads.recordStartedByPeer(engine.id, host.name);
                peer.backlog.recordSentByPeer(engine.id, size.promptTokens, at, isLong);
            }
        };
        news.push({ at, apply });
    };
    const end = (engine: Engine, request: Request) => {
        const { host, size } = request;
        ended += 1;
        completionMilliseconds += now - request.arrivedAt;
        host.loads.recordFinished(engine.id);
        host.memoryUse.recordFinished({ engine: engine.id, tokens: size.promptTokens + size.outputTokens });
        const took = now - (request.firstEventAt ?? now);
        host.speeds.recordPace(engine.id, { measure: SERVICE, millisecondsPerUnit: took / size.outputTokens });
        times.get(size.name)?.push((request.firstEventAt ?? now) - request.arrivedAt);
    };
    const attempt = (request: Request) => {
        const chosen = request.host.choose(request, engines, now);
        const engine = engines.find(({ id }) => id === chosen);
        if (engine !== undefined) {
            send(request, engine);
        }
        return engine !== undefined;
    };
    for (; ended < options.requests; now += 1) {
        for (const queue of [news, late]) {
            while (queue[0] !== undefined && queue[0].at <= now) {
                queue.shift()?.apply();
            }
        }
        if (now % CELL_STAGGER_MILLISECONDS === 0) {
            const cell = now % DIGEST_MILLISECONDS / CELL_STAGGER_MILLISECONDS;
            const others = sumOfOtherCells(published, cell);
            hosts.filter(host => host.cell === cell && others !== undefined).forEach(({ loads }) =>
                loads.recordOtherCells(others ?? {}, now)
            );
        }
        for (const [index, host] of hosts.entries()) {
            if (now % DIGEST_MILLISECONDS === index * 40 % DIGEST_MILLISECONDS) {
                const inFlight = host.loads.allInFlight();
                peersOf(host).forEach(each => each.loads.recordPeerRequests(host.name, inFlight, now));
                late.push({ at: now + OTHER_CELLS_MILLISECONDS, apply: () => published.set(host, inFlight) });
            }
            while (now % RETRY_MILLISECONDS === index && host.queue[0] !== undefined && attempt(host.queue[0])) {
                host.queue.shift();
            }
        }
        while (nextArrival <= now && begun < options.requests) {
            nextArrival -= Math.log(1 - arrivals()) * 1_000 / options.requestsPerSecond;
            begun += 1;
            const host = hosts[Math.floor(arrivals() * hosts.length)] as Host;
            let draw = arrivals();
            const size = options.sizes.find(({ share }) => (draw -= share) < 0) ?? options.sizes[0];
            if (size === undefined) {
                throw new Error("no sizes");
            }
            const request = {
                host,
                size,
                arrivedAt: now,
                prefillLeft: size.promptTokens,
                generated: 0,
                firstEventAt: undefined,
                hasWaited: false,
            };
            if (host.queue.length > 0 || !attempt(request)) {
                host.queue.push({ ...request, hasWaited: true });
            }
        }
        engines.forEach(engine => engine.run(now, request => report(engine, request), request => end(engine, request)));
    }
    const loads = engines.map(({ requestTime }) => requestTime);
    const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
    const all = [...times.values()].flat().sort((left, right) => left - right);
    const within = (each: readonly number[]) => each.filter(time => time <= options.targetMilliseconds).length;
    return {
        attainment: Object.fromEntries([...times].map(([name, each]) => [name, within(each) / each.length])),
        preemptions: engines.reduce((sum, { preemptions }) => sum + preemptions, 0),
        busiest: Math.max(...loads) / mean,
        crossZone: crossZone / options.requests,
        requestsByEngine: engines.map(({ received }) => received),
        p99Milliseconds: all[Math.floor(all.length * 0.99)] ?? 0,
        meanCompletionMilliseconds: completionMilliseconds / ended,
        meanMilliseconds: all.reduce((sum, time) => sum + time, 0) / all.length,
    };
}
